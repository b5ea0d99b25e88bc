package org.whinhead.routing;

/** The rules on which successes clear the failures of an endpoint. */
public enum SuccessRule {
    /** Only successes of dispatches after the last failure; the default. */
    BEGAN_AFTER_LAST_FAILURE {
        @Override
        boolean clears(final long dispatchRevision, final long revision) {
            return dispatchRevision >= revision;
        }
    },
    /** Any success, including those of dispatches before the failure. */
    ANY {
        @Override
        boolean clears(final long dispatchRevision, final long revision) {
            return true;
        }
    };

    abstract boolean clears(long dispatchRevision, long revision);
}
