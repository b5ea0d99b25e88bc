package org.whinhead.settings.daemon;

import java.net.URI;
import java.util.Objects;

/**
 * Base URIs of the platform's services.
 *
 * @param log the URI of the log service
 * @param vms the URI of the VM list
 * @param cloud the URI of the cloud API
 * @param weights the URI of the weight store
 */
public record PlatformUris(URI log, URI vms, URI cloud, URI weights) {

    /** Validates the components. */
    public PlatformUris {
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(vms, "vms");
        Objects.requireNonNull(cloud, "cloud");
        Objects.requireNonNull(weights, "weights");
    }
}
