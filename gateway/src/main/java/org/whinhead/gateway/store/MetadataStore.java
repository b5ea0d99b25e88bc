package org.whinhead.gateway.store;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store of keyed records. Futures complete on the event loop; a call that fails may
 * have been carried out, unless it fails with a {@link StoreRejectionException}. All offsets and
 * ends are a {@link org.whinhead.serving.store.StorePosition}, so that they remain comparable if
 * the store returns from an older copy.
 */
public interface MetadataStore {

    /**
     * Reads the newest record of each key.
     *
     * @param topic the topic
     * @return the records, and an end below all records that are missing, as the store may be
     *     written to while it is read
     */
    CompletableFuture<StorePage> newest(StoreTopic topic);

    /**
     * Reads records in the order of their offsets.
     *
     * @param topic the topic
     * @param from the first offset to read
     * @param wait maximum time to wait for a record
     * @return the records and the topic's end
     */
    CompletableFuture<StorePage> read(StoreTopic topic, long from, Duration wait);

    /**
     * Appends a record unconditionally.
     *
     * @param topic the topic
     * @param key the record's key
     * @param value the record's value
     * @return the new end
     */
    CompletableFuture<Long> append(StoreTopic topic, String key, byte[] value);

    /**
     * Appends a record if the topic has the expected end.
     *
     * @param topic the topic
     * @param key the record's key
     * @param value the record's value
     * @param end the expected end, which becomes the record's offset
     * @return the new end; empty if the topic has another end, or if the store has returned from an
     *     older copy since the expected end was read
     */
    CompletableFuture<OptionalLong> appendAt(StoreTopic topic, String key, byte[] value, long end);
}
