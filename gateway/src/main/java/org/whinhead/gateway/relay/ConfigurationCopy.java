package org.whinhead.gateway.relay;

import java.util.Arrays;
import java.util.Objects;

/**
 * The configuration's record as it was read from the store, for daemons that the store doesn't
 * serve.
 */
public final class ConfigurationCopy {

    private final long mVersion;
    private final byte[] mValue;

    /**
     * Creates a copy.
     *
     * @param version the configuration's version
     * @param value the value of the store's record
     */
    public ConfigurationCopy(final long version, final byte[] value) {
        mVersion = version;
        mValue = Objects.requireNonNull(value, "value").clone();
    }

    public long version() {
        return mVersion;
    }

    public int length() {
        return mValue.length;
    }

    /**
     * Returns a part of the record's value.
     *
     * @param from the first byte of the part
     * @param to the byte after the last one
     * @return a copy of these bytes
     */
    byte[] part(final int from, final int to) {
        return Arrays.copyOfRange(mValue, from, to);
    }
}
