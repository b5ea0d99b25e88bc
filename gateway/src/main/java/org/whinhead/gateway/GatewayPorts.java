package org.whinhead.gateway;

import org.whinhead.gateway.caller.CallerProtocol;
import org.whinhead.gateway.duty.FencedCloudClient;
import org.whinhead.gateway.endpoint.EndpointProtocol;
import org.whinhead.gateway.endpoint.RunMover;
import org.whinhead.gateway.store.ConfigurationDecoder;
import org.whinhead.gateway.store.EndpointDecoder;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.OperatorRolloutCodec;

/**
 * What an adapter of a platform supplies.
 *
 * @param callers how callers spell their requests
 * @param endpoints how endpoints are spoken to
 * @param mover moves runs off leaving endpoints
 * @param directory how callers ask for addresses
 * @param store the platform's store
 * @param cloud the platform's calls for one daemon at a time
 * @param configurations reads the operator's configuration
 * @param configurationKey the key of the record that holds it
 * @param entries reads entries of endpoints
 * @param rollouts how operators order roll-outs
 */
public record GatewayPorts(
        CallerProtocol callers,
        EndpointProtocol endpoints,
        RunMover mover,
        DirectoryProtocol directory,
        MetadataStore store,
        FencedCloudClient cloud,
        ConfigurationDecoder configurations,
        String configurationKey,
        EndpointDecoder entries,
        OperatorRolloutCodec rollouts) {}
