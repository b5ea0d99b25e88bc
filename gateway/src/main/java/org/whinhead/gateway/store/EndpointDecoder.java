package org.whinhead.gateway.store;

import org.whinhead.serving.endpoint.EndpointEntry;

/** Decodes the entry that an endpoint has written to the store. */
public interface EndpointDecoder {

    /**
     * Decodes an entry.
     *
     * @param id the endpoint's id, which is the key of the store's record
     * @param value the value of that record
     * @return the entry
     * @throws UnreadableRecordException if the value is not readable
     */
    EndpointEntry decode(String id, byte[] value) throws UnreadableRecordException;
}
