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
     * Takes a document into force.
     *
     * @param path where it stands
     * @param text its JSON text, kept as it is
     * @param revision the log offset of the record that set it
     */
    public StoredDocument(final DocumentPath path, final String text, final long revision) {
        mPath = Objects.requireNonNull(path, "path");
        mText = Objects.requireNonNull(text, "text");
        mRevision = Arguments.requireAtLeast(revision, 0, "revision");
        mParsed = ParsedDocument.parse(path, text);
    }

    /** Returns where the document stands. */
    public DocumentPath path() {
        return mPath;
    }

    /** Returns the JSON text as it was put. */
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

    /** Returns the ties to other documents. */
    DocumentLinks links() {
        return mParsed.links();
    }
}
