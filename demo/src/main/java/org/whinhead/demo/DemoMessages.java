package org.whinhead.demo;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Looks up and formats the demo's messages. */
final class DemoMessages {

    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.whinhead.demo.messages", Locale.ROOT);

    private DemoMessages() {}

    /**
     * Formats a message.
     *
     * @param key the message's key
     * @param arguments the values for its placeholders
     * @return the formatted message
     */
    static String text(final String key, final Object... arguments) {
        return new MessageFormat(BUNDLE.getString(key), Locale.ROOT).format(arguments);
    }
}
