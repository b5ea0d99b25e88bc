package org.whinhead.settings;

import org.whinhead.api.message.MessageBundle;

/** Looks up the texts about settings by key in {@code messages.properties}. */
final class SettingsMessages {

    private static final MessageBundle TEXTS = MessageBundle.forPackageOf(SettingsMessages.class);

    private SettingsMessages() {}

    /**
     * Formats one text. Numbers have no grouping separators, so that they can be searched for.
     *
     * @param key the text's key
     * @param arguments the values of its placeholders
     * @return the text
     */
    static String text(final String key, final Object... arguments) {
        return TEXTS.text(key, arguments);
    }
}
