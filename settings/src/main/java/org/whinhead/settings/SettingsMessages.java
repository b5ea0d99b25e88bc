package org.whinhead.settings;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Looks up the texts about settings by named key in {@code messages.properties}. */
final class SettingsMessages {

    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.whinhead.settings.messages", Locale.ROOT);

    private SettingsMessages() {}

    /**
     * Formats one text; numbers are printed without grouping, so that they can be searched for.
     *
     * @param key the text's key
     * @param arguments the values for its places
     * @return the text
     */
    static String text(final String key, final Object... arguments) {
        final Object[] texts = new Object[arguments.length];
        for (int i = 0; i < arguments.length; i++) {
            texts[i] = String.valueOf(arguments[i]);
        }
        return new MessageFormat(BUNDLE.getString(key), Locale.ROOT).format(texts);
    }
}
