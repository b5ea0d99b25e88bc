package org.whinhead.serving.configuration.check;

/** The place of an entry in the text of a configuration, in the terms of the text's format. */
public interface EntryPath {

    /**
     * Returns the path of the entry.
     *
     * @return the path
     */
    String text();

    /**
     * Returns the path of a field of the entry.
     *
     * @param field the field
     * @return the path, also if the text lacks the field
     */
    String field(EntryField field);

    /**
     * Returns the path of an element of a list of the entry.
     *
     * @param list the list
     * @param index the index among the decoded elements
     * @return the path
     */
    String element(EntryField list, int index);
}
