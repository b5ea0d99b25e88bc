package org.whinhead.standins.load;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Looks up the load program's texts by named key. */
final class LoadMessages {

    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.whinhead.standins.load.messages", Locale.ROOT);

    private LoadMessages() {}

    /**
     * Formats one text.
     *
     * @param key the text's key
     * @param arguments the values for its places
     * @return the text
     */
    static String text(final String key, final Object... arguments) {
        final String text = BUNDLE.getString(key);
        return arguments.length == 0
                ? text
                : new MessageFormat(text, Locale.ROOT).format(arguments);
    }
}
