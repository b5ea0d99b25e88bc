package org.whinhead.api.message;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** The texts of one {@code messages.properties} file, looked up by named key. */
public final class MessageBundle {

    private final ResourceBundle mTexts;

    private MessageBundle(final ResourceBundle texts) {
        mTexts = texts;
    }

    /**
     * Loads the file that stands beside a class.
     *
     * @param neighbour a class in the file's package
     * @return its texts
     */
    public static MessageBundle forPackageOf(final Class<?> neighbour) {
        final String name = neighbour.getPackageName() + ".messages";
        return new MessageBundle(
                ResourceBundle.getBundle(name, Locale.ROOT, neighbour.getClassLoader()));
    }

    /**
     * Formats one text; numbers are printed without grouping, so that they can be searched for.
     *
     * @param key the text's key
     * @param arguments the values for its places
     * @return the text
     * @throws java.util.MissingResourceException if the key has no text
     */
    public String text(final String key, final Object... arguments) {
        final Object[] texts = new Object[arguments.length];
        for (int i = 0; i < arguments.length; i++) {
            texts[i] = String.valueOf(arguments[i]);
        }
        return new MessageFormat(mTexts.getString(key), Locale.ROOT).format(texts);
    }
}
