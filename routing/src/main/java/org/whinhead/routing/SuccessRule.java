package org.whinhead.routing;

/** Which successes clear an endpoint of its failures. */
public enum SuccessRule {
    /** Only those whose dispatch came after the last failure; the default. */
    BEGAN_AFTER_LAST_FAILURE {
        @Override
        boolean clears(final long dispatchRevision, final long revision) {
            return dispatchRevision >= revision;
        }
    },
    /** Each one, also of a dispatch from before the failure. */
    ANY {
        @Override
        boolean clears(final long dispatchRevision, final long revision) {
            return true;
        }
    };

    abstract boolean clears(long dispatchRevision, long revision);
}
