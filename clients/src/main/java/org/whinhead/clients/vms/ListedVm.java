package org.whinhead.clients.vms;

import java.net.URI;
import java.util.Objects;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Vm;

/**
 * An entry of the VM list.
 *
 * @param vm the VM
 * @param role the role of the process on the VM
 * @param uri the base address of that process
 * @param service the name of the plain service; empty for other roles
 * @param checksFencing whether the engine rejects outdated fencing numbers
 * @param slots the number of requests that the process handles concurrently
 */
public record ListedVm(
        Vm vm, VmRole role, URI uri, String service, boolean checksFencing, int slots) {

    /** Validates that no component is null. */
    public ListedVm {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(service, "service");
    }

    /**
     * Returns the endpoint on the VM. Its id is the id of the VM.
     *
     * @param models the models that the engine has loaded; unused for a plain service
     * @return the endpoint
     * @throws IllegalStateException if the VM runs a daemon
     */
    public Endpoint endpoint(final Set<ModelRef> models) {
        final EndpointId id = new EndpointId(vm.id().value());
        final Endpoint.Builder builder =
                switch (role) {
                    case ENGINE -> Endpoint.engine(id).models(models);
                    case SERVICE -> Endpoint.plainService(id, service);
                    case ENTRY ->
                            throw new IllegalStateException(id + " runs a daemon, not an endpoint");
                };
        return builder.vm(vm).uri(uri).checksFencing(checksFencing).slots(slots).build();
    }
}
