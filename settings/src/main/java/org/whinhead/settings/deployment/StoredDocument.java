package org.whinhead.settings.deployment;

import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/** A document that is in force; immutable. */
public final class StoredDocument {

    private final DocumentPath mPath;
    private final String mText;
    private final long mRevision;
    private final ParsedDocument mParsed;

    /**
     * Creates a document and parses its text.
     *
     * @param path the path of the document
     * @param text its JSON text, stored unchanged
     * @param revision the log offset of the record that set it, at least 0
     */
    public StoredDocument(final DocumentPath path, final String text, final long revision) {
        mPath = Objects.requireNonNull(path, "path");
        mText = Objects.requireNonNull(text, "text");
        mRevision = Arguments.requireAtLeast(revision, 0, "revision");
        mParsed = ParsedDocument.parse(path, text);
    }

    /** Returns the path of the document. */
    public DocumentPath path() {
        return mPath;
    }

    /** Returns the JSON text, unchanged. */
    public String text() {
        return mText;
    }

    /** Returns the log offset of the record that set the document. */
    public long revision() {
        return mRevision;
    }

    /** Returns the typed value; empty if this program cannot use the document. */
    public Optional<DocumentValue> value() {
        return mParsed.value();
    }

    /** Returns the links to other documents. */
    DocumentLinks links() {
        return mParsed.links();
    }
}
