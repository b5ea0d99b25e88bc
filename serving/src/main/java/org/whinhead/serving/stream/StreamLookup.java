package org.whinhead.serving.stream;

import java.util.Objects;
import java.util.Optional;

/**
 * What is known of a stream that a caller resumes.
 *
 * @param knowledge the kind of knowledge
 * @param origin where the stream began; present exactly if that is known
 */
public record StreamLookup(Knowledge knowledge, Optional<StreamOrigin> origin) {

    /** Nothing is known: the stream never began, is too old, or began at daemons that are gone. */
    public static final StreamLookup UNKNOWN = new StreamLookup(Knowledge.NONE, Optional.empty());

    /** Streams with the same id began at different versions. */
    public static final StreamLookup AMBIGUOUS =
            new StreamLookup(Knowledge.AMBIGUOUS, Optional.empty());

    /** Checks the components. */
    public StreamLookup {
        Objects.requireNonNull(knowledge, "knowledge");
        Objects.requireNonNull(origin, "origin");
        if (origin.isPresent() != (knowledge == Knowledge.ORIGIN)) {
            throw new IllegalArgumentException("origin doesn't fit knowledge: " + knowledge);
        }
    }

    /** The kinds of knowledge of a stream. */
    public enum Knowledge {
        NONE,
        ORIGIN,
        AMBIGUOUS
    }

    /**
     * Returns the knowledge of a stream's origin.
     *
     * @param origin where the stream began
     * @return the knowledge
     */
    public static StreamLookup found(final StreamOrigin origin) {
        return new StreamLookup(Knowledge.ORIGIN, Optional.of(origin));
    }
}
