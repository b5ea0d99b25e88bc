package org.whinhead.gateway.store;

import java.util.Objects;
import java.util.Optional;

/** One record of a topic. */
public final class StoreRecord {

    private final String mKey;
    private final Optional<byte[]> mValue;
    private final long mOffset;

    /**
     * Creates a record.
     *
     * @param key the key
     * @param value the value; an empty one removes the key
     * @param offset the record's {@link org.whinhead.serving.store.StorePosition} in the topic
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
     * Returns a copy of the value.
     *
     * @return the value; empty if this record removes its key
     */
    public Optional<byte[]> value() {
        return mValue.map(byte[]::clone);
    }

    public long offset() {
        return mOffset;
    }
}
