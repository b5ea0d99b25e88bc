package org.whinhead.serving.configuration;

import java.util.Optional;

/**
 * Holds the newest configuration read.
 *
 * <p>Reads of the store may complete out of order or be served by a lagging replica. Applying them
 * as they complete would restore an older version, and with it removed routes and keys.
 */
public final class ConfigurationHolder {

    private ServingConfiguration mCurrent;

    /**
     * Applies a version if it is newer than the current one.
     *
     * @param candidate the version
     * @return whether the version was applied
     */
    public boolean offer(final ServingConfiguration candidate) {
        if (mCurrent != null && candidate.version() <= mCurrent.version()) {
            return false;
        }
        mCurrent = candidate;
        return true;
    }

    public Optional<ServingConfiguration> current() {
        return Optional.ofNullable(mCurrent);
    }
}
