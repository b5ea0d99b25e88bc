package org.whinhead.api.message;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Message texts of one {@code messages.properties} file, looked up by key. */
public final class MessageBundle {

    private final ResourceBundle mTexts;

    private MessageBundle(final ResourceBundle texts) {
        mTexts = texts;
    }

    /**
     * Loads the messages file of the package of a class.
     *
     * @param member a class in the file's package
     * @return the texts of the file
     */
    public static MessageBundle forPackageOf(final Class<?> member) {
        final String name = member.getPackageName() + ".messages";
        return new MessageBundle(
                ResourceBundle.getBundle(name, Locale.ROOT, member.getClassLoader()));
    }

    /**
     * Formats one text. Numbers have no grouping separators, so that they can be searched for.
     *
     * @param key the text's key
     * @param arguments the values of its placeholders
     * @return the text
     * @throws java.util.MissingResourceException if the key has no text
     */
    public String text(final String key, final Object... arguments) {
        final Object[] values = new Object[arguments.length];
        for (int i = 0; i < arguments.length; i++) {
            values[i] = String.valueOf(arguments[i]);
        }
        return new MessageFormat(mTexts.getString(key), Locale.ROOT).format(values);
    }
}
