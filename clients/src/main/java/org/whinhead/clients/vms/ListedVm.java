package org.whinhead.clients.vms;

import java.net.URI;
import java.util.Objects;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Vm;

/**
 * One VM of the list.
 *
 * @param vm the VM
 * @param role what runs on it
 * @param uri where that listens
 * @param service the plain service's name; empty for other roles
 * @param checksFencing whether an engine refuses old fencing numbers
 * @param slots how many requests it works on at once
 */
public record ListedVm(
        Vm vm, VmRole role, URI uri, String service, boolean checksFencing, int slots) {

    /** Checks every part. */
    public ListedVm {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(service, "service");
    }

    /**
     * Returns the endpoint that runs on the VM, named after it.
     *
     * @param models the models that an engine has loaded
     * @return the endpoint
     * @throws IllegalStateException if a daemon runs there
     */
    public Endpoint endpoint(final Set<ModelRef> models) {
        final EndpointId id = new EndpointId(vm.id().value());
        final Endpoint.Builder builder =
                switch (role) {
                    case ENGINE -> Endpoint.engine(id).models(models);
                    case SERVICE -> Endpoint.plainService(id, service);
                    case ENTRY -> throw new IllegalStateException(id + " is no endpoint");
                };
        return builder.vm(vm).uri(uri).checksFencing(checksFencing).slots(slots).build();
    }
}
