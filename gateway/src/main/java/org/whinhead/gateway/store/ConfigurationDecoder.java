package org.whinhead.gateway.store;

import org.whinhead.serving.configuration.ServingConfiguration;

/** Decodes the operator's configuration. */
public interface ConfigurationDecoder {

    /**
     * Decodes a configuration.
     *
     * @param value the value of the store's record
     * @return the configuration
     * @throws UnreadableRecordException if the value is not readable
     */
    ServingConfiguration decode(byte[] value) throws UnreadableRecordException;
}
