package org.whinhead.state.fold;

import java.util.Objects;

/**
 * What a daemon knows of the shared state, and how it came to know it.
 *
 * @param state the state
 * @param source where it came from
 * @param caughtUp whether the head of the log was reached since the start; until then a daemon
 *     whose log answers must not serve by the settings, as newer ones may be on their way
 * @param blocked whether the fold stopped before rules that this version does not know
 */
public record FoldView(FoldState state, Source source, boolean caughtUp, boolean blocked) {

    /** Checks every part. */
    public FoldView {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(source, "source");
    }

    /** Where a daemon's state came from. */
    public enum Source {
        /** Nothing was read yet. */
        NONE,
        /** From a peer; the log was not reached since. */
        PEER,
        /** From the log's records or a checkpoint on it. */
        LOG
    }
}
