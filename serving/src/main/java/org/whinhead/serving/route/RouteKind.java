package org.whinhead.serving.route;

/** The kind of a route's requests: whether they may be repeated or are streams. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT {
        @Override
        public boolean canRunAgain(final boolean resumable) {
            return true;
        }
    },
    /** A request runs at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean canRunAgain(final boolean resumable) {
            return false;
        }
    },
    /** The answer is a stream of numbered events; a request runs again only if it is resumable. */
    STREAMING {
        @Override
        public boolean canRunAgain(final boolean resumable) {
            return resumable;
        }

        @Override
        public boolean isStream() {
            return true;
        }
    };

    /**
     * Returns whether a request that may have run can be sent to another endpoint.
     *
     * @param resumable whether the route's streams can be resumed from an event
     * @return whether running it again is allowed
     */
    public abstract boolean canRunAgain(boolean resumable);

    /**
     * Returns whether answers are event streams.
     *
     * @return whether they are
     */
    public boolean isStream() {
        return false;
    }
}
