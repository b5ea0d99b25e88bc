package org.whinhead.serving.route;

/** What may be repeated of a route's requests, and what an answer of it looks like. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT {
        @Override
        public boolean canRunAgain(final boolean resumable) {
            return true;
        }
    },
    /** A request runs once at most. */
    NON_IDEMPOTENT {
        @Override
        public boolean canRunAgain(final boolean resumable) {
            return false;
        }
    },
    /** The answer is a series of numbered events; it runs again only where it can be resumed. */
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
     * Tells whether a request that may have run can be sent to another endpoint.
     *
     * @param resumable whether the route's streams can go on from an event
     * @return whether running it twice is allowed
     */
    public abstract boolean canRunAgain(boolean resumable);

    /**
     * Tells whether answers are event streams.
     *
     * @return whether they are
     */
    public boolean isStream() {
        return false;
    }
}
