package org.whinhead.settings.deployment;

/** Matches the path of a call to a plain service against the paths listed in its settings. */
final class ServicePaths {

    private static final String SEPARATOR = "/";
    private static final String CANONICAL_FORM =
            "/?[A-Za-z0-9_-][A-Za-z0-9._~-]*(/[A-Za-z0-9_-][A-Za-z0-9._~-]*)*";

    private ServicePaths() {}

    /**
     * Returns whether a path has no dot segments, empty segments or escapes. Other paths are never
     * treated as idempotent: {@code x/../claims} or {@code %63laims} would not match the listed
     * path {@code claims}, although the service may resolve it to that path, and a call that may
     * run at most once would be retried.
     */
    static boolean isCanonical(final String path) {
        return path.matches(CANONICAL_FORM);
    }

    /** Returns whether a listed path equals or is a parent of a call's path, ignoring case. */
    static boolean covers(final String listed, final String path) {
        final String callPath = path.startsWith(SEPARATOR) ? path.substring(1) : path;
        if (callPath.equalsIgnoreCase(listed)) {
            return true;
        }
        final String parentPrefix = listed + SEPARATOR;
        return callPath.regionMatches(true, 0, parentPrefix, 0, parentPrefix.length());
    }
}
