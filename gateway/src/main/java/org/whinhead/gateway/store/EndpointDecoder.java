package org.whinhead.gateway.store;

import org.whinhead.serving.endpoint.EndpointEntry;

/** Reads an entry as an endpoint wrote it. */
public interface EndpointDecoder {

    /**
     * Reads an entry.
     *
     * @param id the endpoint's id, which is the record's key
     * @param value the record's value
     * @return the entry
     * @throws UnreadableRecordException if it can't be understood
     */
    EndpointEntry decode(String id, byte[] value) throws UnreadableRecordException;
}
