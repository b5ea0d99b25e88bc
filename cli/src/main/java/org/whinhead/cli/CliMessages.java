package org.whinhead.cli;

import org.whinhead.api.message.MessageBundle;

/** Looks up the texts of the command line by named key in {@code messages.properties}. */
public final class CliMessages {

    private static final MessageBundle TEXTS = MessageBundle.forPackageOf(CliMessages.class);

    private CliMessages() {}

    /**
     * Formats one text.
     *
     * @param key the text's key
     * @param arguments the values for its places, printed as they are
     * @return the text
     */
    public static String text(final String key, final Object... arguments) {
        return TEXTS.text(key, arguments);
    }
}
