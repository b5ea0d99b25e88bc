package org.whinhead.serving.configuration;

import java.util.Optional;

/**
 * Holds the newest configuration seen.
 *
 * <p>Reads of the store may come back out of order, or from a copy that lags; taking one as it
 * comes would bring an older version back in force, which callers see as a route or key that
 * returns.
 */
public final class ConfigurationHolder {

    private ServingConfiguration mCurrent;

    /**
     * Offers a version.
     *
     * @param candidate the version
     * @return whether it is newer than all seen before, and so is in force now
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
