package org.whinhead.standins.load;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Looks up and formats the texts of the load program. */
final class LoadMessages {

    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.whinhead.standins.load.messages", Locale.ROOT);

    private LoadMessages() {}

    /**
     * Returns the text of a key.
     *
     * @param key the key in the resource bundle
     * @param arguments the values of the placeholders
     * @return the formatted text
     */
    static String text(final String key, final Object... arguments) {
        final String text = BUNDLE.getString(key);
        return arguments.length == 0
                ? text
                : new MessageFormat(text, Locale.ROOT).format(arguments);
    }
}
