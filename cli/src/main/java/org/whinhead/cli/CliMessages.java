package org.whinhead.cli;

import org.whinhead.api.message.MessageBundle;

/** Looks up the messages of the command-line tool by key in {@code messages.properties}. */
public final class CliMessages {

    private static final MessageBundle MESSAGES = MessageBundle.forPackageOf(CliMessages.class);

    private CliMessages() {}

    /**
     * Formats a message.
     *
     * @param key the key of the message
     * @param arguments the values for the placeholders, inserted as they are
     * @return the formatted message
     */
    public static String text(final String key, final Object... arguments) {
        return MESSAGES.text(key, arguments);
    }
}
