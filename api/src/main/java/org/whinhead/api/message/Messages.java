package org.whinhead.api.message;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Looks up texts for people by named key in {@code messages.properties}. */
public final class Messages {

    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.whinhead.api.message.messages", Locale.ROOT);

    private Messages() {}

    /**
     * Formats one text.
     *
     * @param key the text's key
     * @param arguments the values for its places
     * @return the text
     * @throws java.util.MissingResourceException if the key has no text
     */
    public static String text(final String key, final Object... arguments) {
        return new MessageFormat(BUNDLE.getString(key), Locale.ROOT).format(arguments);
    }
}
