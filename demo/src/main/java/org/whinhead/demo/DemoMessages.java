package org.whinhead.demo;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Looks up the demo's texts by named key. */
final class DemoMessages {

    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.whinhead.demo.messages", Locale.ROOT);

    private DemoMessages() {}

    /**
     * Formats one text.
     *
     * @param key the text's key
     * @param arguments the values for its places
     * @return the text
     */
    static String text(final String key, final Object... arguments) {
        return new MessageFormat(BUNDLE.getString(key), Locale.ROOT).format(arguments);
    }
}
