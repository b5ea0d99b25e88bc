package org.whinhead.settings.daemon;

import java.net.URI;
import java.util.Objects;

/**
 * Where the platform's services are.
 *
 * @param log the log service
 * @param vms the VM list
 * @param cloud the cloud API
 * @param weights the weight store
 */
public record PlatformUris(URI log, URI vms, URI cloud, URI weights) {

    /** Checks every part. */
    public PlatformUris {
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(vms, "vms");
        Objects.requireNonNull(cloud, "cloud");
        Objects.requireNonNull(weights, "weights");
    }
}
