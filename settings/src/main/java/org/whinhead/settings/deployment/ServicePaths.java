package org.whinhead.settings.deployment;

/** Compares the path of a call to a plain service with the paths that its settings list. */
final class ServicePaths {

    private static final String SEPARATOR = "/";
    private static final String PLAIN =
            "/?[A-Za-z0-9_-][A-Za-z0-9._~-]*(/[A-Za-z0-9_-][A-Za-z0-9._~-]*)*";

    private ServicePaths() {}

    /**
     * Tells whether a path has one spelling only. Guards against a call that may run once but is
     * retried, because it was spelled {@code x/../claims} or {@code %63laims}: the listed path does
     * not match, yet the service takes it for {@code claims}. A path with dot segments, empty
     * segments or escapes is therefore never taken for idempotent.
     */
    static boolean isCanonical(final String path) {
        return path.matches(PLAIN);
    }

    /** Tells whether a listed path is the call's path or stands above it; case does not count. */
    static boolean covers(final String listed, final String path) {
        final String call = path.startsWith(SEPARATOR) ? path.substring(1) : path;
        if (call.equalsIgnoreCase(listed)) {
            return true;
        }
        final String above = listed + SEPARATOR;
        return call.regionMatches(true, 0, above, 0, above.length());
    }
}
