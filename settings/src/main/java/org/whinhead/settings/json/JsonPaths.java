package org.whinhead.settings.json;

/** Builds JSON paths of places in a document. */
public final class JsonPaths {

    /** Path of the whole document. */
    public static final String ROOT = "$";

    private static final String PLAIN_NAME = "[A-Za-z_][A-Za-z0-9_]*";

    private JsonPaths() {}

    /**
     * Appends a field to a path.
     *
     * @param parent the path of the object
     * @param name the field's name
     * @return the path of the field
     */
    public static String field(final String parent, final String name) {
        if (name.matches(PLAIN_NAME)) {
            return parent + "." + name;
        }
        return parent + "['" + name + "']";
    }

    /**
     * Appends an array index to a path.
     *
     * @param parent the path of the array
     * @param index the index, from 0
     * @return the path of the element
     */
    public static String element(final String parent, final int index) {
        return parent + "[" + index + "]";
    }
}
