package org.whinhead.gateway.store;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's metadata store: topics of keyed records with offsets. Futures complete on the
 * event loop; a call whose future fails may still have been carried out.
 */
public interface MetadataStore {

    /**
     * Reads the newest record of each key.
     *
     * @param topic the topic
     * @return the records, and the offset that the topic's next record gets
     */
    CompletableFuture<StorePage> newest(StoreTopic topic);

    /**
     * Reads records in the order in which they were appended.
     *
     * @param topic the topic
     * @param from the first offset to read
     * @param wait maximum time that the store waits for a record if there is none
     * @return the records, and the offset that the topic's next record gets
     */
    CompletableFuture<StorePage> read(StoreTopic topic, long from, Duration wait);

    /**
     * Appends a record unconditionally.
     *
     * @param topic the topic
     * @param key the record's key
     * @param value the record's value
     * @return the offset behind the record
     */
    CompletableFuture<Long> append(StoreTopic topic, String key, byte[] value);

    /**
     * Appends a record if the topic ends at the given offset.
     *
     * @param topic the topic
     * @param key the record's key
     * @param value the record's value
     * @param end the expected end of the topic, which becomes the record's offset
     * @return the offset behind the record; empty if the topic ends at another offset
     */
    CompletableFuture<OptionalLong> appendAt(StoreTopic topic, String key, byte[] value, long end);
}
