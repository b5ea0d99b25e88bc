package org.whinhead.gateway;

import org.whinhead.gateway.caller.CallerProtocol;
import org.whinhead.gateway.duty.FencedCloudClient;
import org.whinhead.gateway.endpoint.EndpointProtocol;
import org.whinhead.gateway.endpoint.RunMoverFactory;
import org.whinhead.gateway.store.ConfigurationDecoder;
import org.whinhead.gateway.store.EndpointDecoder;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.OperatorRolloutCodec;

/**
 * The interfaces that a platform's adapter implements for the gateway.
 *
 * @param callers decodes the requests of callers
 * @param endpoints encodes requests to endpoints and decodes their responses
 * @param mover creates the client that moves runs from leaving endpoints to other ones
 * @param directory answers directory calls of callers
 * @param store the platform's metadata store
 * @param cloud the cloud calls that one daemon at a time makes
 * @param configurations decodes the operator's configuration
 * @param configurationKey the key of the store record with the configuration
 * @param entries decodes endpoint entries
 * @param rollouts decodes the roll-out orders of operators
 */
public record GatewayPorts(
        CallerProtocol callers,
        EndpointProtocol endpoints,
        RunMoverFactory mover,
        DirectoryProtocol directory,
        MetadataStore store,
        FencedCloudClient cloud,
        ConfigurationDecoder configurations,
        String configurationKey,
        EndpointDecoder entries,
        OperatorRolloutCodec rollouts) {}
