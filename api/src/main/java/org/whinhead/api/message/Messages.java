package org.whinhead.api.message;

/** Looks up human-readable texts by key in {@code messages.properties}. */
public final class Messages {

    private static final MessageBundle TEXTS = MessageBundle.forPackageOf(Messages.class);

    private Messages() {}

    /**
     * Formats one text.
     *
     * @param key the text's key
     * @param arguments the values of its placeholders
     * @return the text
     * @throws java.util.MissingResourceException if the key has no text
     */
    public static String text(final String key, final Object... arguments) {
        return TEXTS.text(key, arguments);
    }
}
