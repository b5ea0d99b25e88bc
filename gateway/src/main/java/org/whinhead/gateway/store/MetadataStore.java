package org.whinhead.gateway.store;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store. Futures complete on the event loop; one that fails says nothing of whether
 * the call was carried out.
 */
public interface MetadataStore {

    /**
     * Reads the newest record of each key.
     *
     * @param topic the topic
     * @return the records and the end
     */
    CompletableFuture<StorePage> newest(StoreTopic topic);

    /**
     * Reads records as they were appended.
     *
     * @param topic the topic
     * @param from the first offset
     * @param wait how long the store may wait for a record
     * @return the records and the end
     */
    CompletableFuture<StorePage> read(StoreTopic topic, long from, Duration wait);

    /**
     * Appends a record.
     *
     * @param topic the topic
     * @param key its key
     * @param value its value
     * @return the end behind it
     */
    CompletableFuture<Long> append(StoreTopic topic, String key, byte[] value);

    /**
     * Appends a record if the topic ends where it is thought to end.
     *
     * @param topic the topic
     * @param key its key
     * @param value its value
     * @param end the offset that the record is to get
     * @return the end behind it; empty if the topic ends elsewhere
     */
    CompletableFuture<OptionalLong> appendAt(StoreTopic topic, String key, byte[] value, long end);
}
