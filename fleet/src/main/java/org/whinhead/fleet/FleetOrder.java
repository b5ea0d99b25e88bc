package org.whinhead.fleet;

import java.util.Objects;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.VmId;

/**
 * A command to the cloud or to an endpoint.
 *
 * <p>An order is appended to the log before it is sent. A new lease holder sends the open orders
 * again under the same IDs, so an order whose response was lost takes effect only once.
 */
public sealed interface FleetOrder {

    /** Returns the ID of the order. */
    OrderId id();

    /** Returns the human-readable reason for the order. */
    String reason();

    /**
     * Starts a VM.
     *
     * @param id the ID of the order
     * @param pool the name of the pool of the VM
     * @param supply the supply of which to start a VM
     * @param reason the human-readable reason
     */
    record StartVm(OrderId id, PoolName pool, Supply supply, String reason) implements FleetOrder {
        /** Validates the components. */
        public StartVm {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(pool, "pool");
            Objects.requireNonNull(supply, "supply");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Drains a VM: it receives no new requests, so that it can be stopped without losing any.
     *
     * @param id the ID of the order
     * @param vm the ID of the VM
     * @param reason the human-readable reason
     */
    record DrainVm(OrderId id, VmId vm, String reason) implements FleetOrder {
        /** Validates the components. */
        public DrainVm {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(vm, "vm");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Stops a VM that has no requests in progress.
     *
     * @param id the ID of the order
     * @param vm the ID of the VM
     * @param reason the human-readable reason
     */
    record StopVm(OrderId id, VmId vm, String reason) implements FleetOrder {
        /** Validates the components. */
        public StopVm {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(vm, "vm");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Loads a model into an engine.
     *
     * @param id the ID of the order
     * @param endpoint the ID of the engine
     * @param model the model to load
     * @param reason the human-readable reason
     */
    record LoadModel(OrderId id, EndpointId endpoint, ModelRef model, String reason)
            implements FleetOrder {
        /** Validates the components. */
        public LoadModel {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(model, "model");
            Objects.requireNonNull(reason, "reason");
        }
    }
}
