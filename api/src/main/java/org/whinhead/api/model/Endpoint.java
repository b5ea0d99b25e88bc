package org.whinhead.api.model;

import java.net.URI;
import java.util.Objects;
import java.util.Set;
import org.whinhead.api.Arguments;

/**
 * One back end: a model engine or a plain service on a VM.
 *
 * @param id the endpoint's identifier
 * @param kind the kind of back end
 * @param vm the VM that it runs on
 * @param uri the base address, for example {@code http://10.0.0.7:8000}
 * @param models the models that it has loaded; empty for a plain service
 * @param service the plain service's name; empty for a model engine
 * @param checksFencing whether it rejects an order that carries an outdated fencing token
 * @param slots the number of requests that it processes concurrently before others wait, at least 1
 */
public record Endpoint(
        EndpointId id,
        EndpointKind kind,
        Vm vm,
        URI uri,
        Set<ModelRef> models,
        String service,
        boolean checksFencing,
        int slots) {

    /** Validates the components and copies the set. */
    public Endpoint {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(uri, "uri");
        models = Set.copyOf(models);
        Objects.requireNonNull(service, "service");
        Arguments.requireAtLeast(slots, 1, "slots");
    }

    /**
     * Returns the same endpoint with its VM in another state.
     *
     * @param state the VM's new state
     * @return a copy of this endpoint
     */
    public Endpoint withVmState(final VmState state) {
        return toBuilder().vm(vm.withState(state)).build();
    }

    /**
     * Returns a builder for a model engine.
     *
     * @param id the endpoint's identifier
     * @return the builder
     */
    public static Builder engine(final EndpointId id) {
        return new Builder(id, EndpointKind.MODEL_ENGINE);
    }

    /**
     * Returns a builder for a plain service.
     *
     * @param id the endpoint's identifier
     * @param service the service's name
     * @return the builder
     */
    public static Builder plainService(final EndpointId id, final String service) {
        return new Builder(id, EndpointKind.PLAIN_SERVICE).service(service);
    }

    /**
     * Returns a builder initialized with this endpoint's values.
     *
     * @return the builder
     */
    public Builder toBuilder() {
        return new Builder(id, kind)
                .vm(vm)
                .uri(uri)
                .models(models)
                .service(service)
                .checksFencing(checksFencing)
                .slots(slots);
    }

    /** Builds an {@link Endpoint}. */
    public static final class Builder {
        private static final int DEFAULT_SLOTS = 16;

        private final EndpointId mId;
        private final EndpointKind mKind;
        private Vm mVm;
        private URI mUri;
        private Set<ModelRef> mModels = Set.of();
        private String mService = "";
        private boolean mChecksFencing;
        private int mSlots = DEFAULT_SLOTS;

        private Builder(final EndpointId id, final EndpointKind kind) {
            mId = id;
            mKind = kind;
        }

        /** Sets the VM; required. */
        public Builder vm(final Vm vm) {
            mVm = vm;
            return this;
        }

        /** Sets the base address; required. */
        public Builder uri(final URI uri) {
            mUri = uri;
            return this;
        }

        /** Sets the loaded models; none by default. */
        public Builder models(final Set<ModelRef> models) {
            mModels = models;
            return this;
        }

        /** Sets the plain service's name; empty by default. */
        public Builder service(final String service) {
            mService = service;
            return this;
        }

        /** Sets whether outdated fencing tokens are rejected; false by default. */
        public Builder checksFencing(final boolean checksFencing) {
            mChecksFencing = checksFencing;
            return this;
        }

        /** Sets the number of requests processed concurrently; 16 by default. */
        public Builder slots(final int slots) {
            mSlots = slots;
            return this;
        }

        /** Builds the endpoint. */
        public Endpoint build() {
            return new Endpoint(mId, mKind, mVm, mUri, mModels, mService, mChecksFencing, mSlots);
        }
    }
}
