package org.whinhead.gateway.store;

import java.util.Objects;
import java.util.Optional;

/** One record of a topic. */
public final class StoreRecord {

    private final String mKey;
    private final Optional<byte[]> mValue;
    private final long mOffset;

    /**
     * Makes a record.
     *
     * @param key its key
     * @param value its value; none drops the key
     * @param offset its place in the topic
     */
    public StoreRecord(final String key, final Optional<byte[]> value, final long offset) {
        mKey = Objects.requireNonNull(key, "key");
        mValue = value.map(byte[]::clone);
        mOffset = offset;
    }

    public String key() {
        return mKey;
    }

    /**
     * Copies the value.
     *
     * @return the value, unless this record drops its key
     */
    public Optional<byte[]> value() {
        return mValue.map(byte[]::clone);
    }

    public long offset() {
        return mOffset;
    }
}
