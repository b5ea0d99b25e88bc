package org.whinhead.gateway.store;

import org.whinhead.serving.configuration.ServingConfiguration;

/** Reads a configuration as the operator wrote it. */
public interface ConfigurationDecoder {

    /**
     * Reads a configuration.
     *
     * @param value the record's value
     * @return the configuration
     * @throws UnreadableRecordException if it can't be understood
     */
    ServingConfiguration decode(byte[] value) throws UnreadableRecordException;
}
