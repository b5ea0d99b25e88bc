package org.whinhead.daemon.operator;

import org.whinhead.api.message.MessageBundle;

/** The message texts of the operators' interface. */
final class OperatorMessages {

    private static final MessageBundle TEXTS = MessageBundle.forPackageOf(OperatorMessages.class);

    private OperatorMessages() {}

    static String text(final String key, final Object... arguments) {
        return TEXTS.text(key, arguments);
    }
}
