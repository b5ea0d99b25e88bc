package org.whinhead.fleet;

import java.util.Objects;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.VmId;

/**
 * One command to the cloud or to an endpoint.
 *
 * <p>An order is put on the log before it is sent. A holder that takes over sends the open ones
 * again under the same identity, so an order whose answer was lost takes effect once.
 */
public sealed interface FleetOrder {

    /** Returns the order's identity. */
    OrderId id();

    /** Returns why the order was given, for people. */
    String reason();

    /**
     * Starts a VM.
     *
     * @param id the order's identity
     * @param pool the pool that it is for
     * @param supply what to start
     * @param reason why
     */
    record StartVm(OrderId id, PoolName pool, Supply supply, String reason) implements FleetOrder {
        /** Checks every part. */
        public StartVm {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(pool, "pool");
            Objects.requireNonNull(supply, "supply");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Shuts a VM out from new work, so that it can be stopped without cutting a request.
     *
     * @param id the order's identity
     * @param vm the VM
     * @param reason why
     */
    record DrainVm(OrderId id, VmId vm, String reason) implements FleetOrder {
        /** Checks every part. */
        public DrainVm {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(vm, "vm");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Stops a VM that is empty of work.
     *
     * @param id the order's identity
     * @param vm the VM
     * @param reason why
     */
    record StopVm(OrderId id, VmId vm, String reason) implements FleetOrder {
        /** Checks every part. */
        public StopVm {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(vm, "vm");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Loads a model into an engine.
     *
     * @param id the order's identity
     * @param endpoint the engine
     * @param model what to load
     * @param reason why
     */
    record LoadModel(OrderId id, EndpointId endpoint, ModelRef model, String reason)
            implements FleetOrder {
        /** Checks every part. */
        public LoadModel {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(model, "model");
            Objects.requireNonNull(reason, "reason");
        }
    }
}
