package org.whinhead.state.fold;

import java.util.Objects;

/**
 * A daemon's view of the shared state and the source of that state.
 *
 * @param state the shared state
 * @param source the source of the state
 * @param caughtUp whether the head of the log was reached since the start; until then a daemon that
 *     can reach the log must not serve with these settings, as newer ones may follow
 * @param blocked whether the fold stopped at a rules version that this program version does not
 *     support
 */
public record FoldView(FoldState state, Source source, boolean caughtUp, boolean blocked) {

    /** Checks every part. */
    public FoldView {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(source, "source");
    }

    /** The source of a daemon's state. */
    public enum Source {
        /** No record or state was read yet. */
        NONE,
        /** The state comes from a peer and was not confirmed by the log since. */
        PEER,
        /** The state comes from the log's records or from a checkpoint. */
        LOG
    }
}
