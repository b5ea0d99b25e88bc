package org.whinhead.settings.deployment;

import java.util.List;
import java.util.regex.Pattern;

/**
 * Path of a document, for example {@code /teams/filing/customers/kigali-aid}.
 *
 * @param text the path as text
 */
public record DocumentPath(String text) implements Comparable<DocumentPath> {

    private static final String SEPARATOR = "/";
    private static final String SEGMENT = "/[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
    private static final Pattern FORM = Pattern.compile("(" + SEGMENT + "){1,6}");

    /** Validates the form. */
    public DocumentPath {
        if (!isWellFormed(text)) {
            throw new IllegalArgumentException("not a path of a document: " + text);
        }
    }

    /**
     * Parses a path.
     *
     * @param text the text
     * @return the path
     * @throws IllegalArgumentException if the text is not a path
     */
    public static DocumentPath parse(final String text) {
        return new DocumentPath(text);
    }

    /**
     * Returns whether a text is a path: one to six segments, each preceded by a slash. A segment
     * consists of at most 63 letters, digits, dots, dashes and underscores and starts with a letter
     * or digit.
     *
     * @param text the text
     * @return true if the text is a well-formed path
     */
    public static boolean isWellFormed(final String text) {
        return FORM.matcher(text).matches();
    }

    /** Returns the segments between the slashes. */
    public List<String> segments() {
        return List.of(text.substring(1).split(SEPARATOR));
    }

    /** Returns the segment at an index, counted from 0. */
    public String segment(final int index) {
        return segments().get(index);
    }

    /** Returns the last segment. */
    public String name() {
        return text.substring(text.lastIndexOf(SEPARATOR) + 1);
    }

    @Override
    public int compareTo(final DocumentPath other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
