package org.whinhead.cli;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Looks up the texts of the command line by named key in {@code messages.properties}. */
public final class CliMessages {

    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.whinhead.cli.messages", Locale.ROOT);

    private CliMessages() {}

    /**
     * Formats one text.
     *
     * @param key the text's key
     * @param arguments the values for its places, printed as they are
     * @return the text
     */
    public static String text(final String key, final Object... arguments) {
        final Object[] texts = new Object[arguments.length];
        for (int i = 0; i < arguments.length; i++) {
            texts[i] = String.valueOf(arguments[i]);
        }
        return new MessageFormat(BUNDLE.getString(key), Locale.ROOT).format(texts);
    }
}
