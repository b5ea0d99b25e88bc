package org.whinhead.standins.engine;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.whinhead.api.Arguments;

/** Applies orders to the loaded models and the role of an engine; not thread-safe. */
public final class EngineOrders {

    /** The kind of change that an order requests. */
    public enum Kind {
        /** Load a model; the engine serves it once its weights are loaded. */
        LOAD,
        /** Unload a model. */
        UNLOAD,
        /** Change the engine's role. */
        ROLE
    }

    /**
     * An order to an engine.
     *
     * @param id the order's identity
     * @param fencing the sender's fencing number
     * @param kind the requested change
     * @param model the model; empty for a role change
     * @param role the role; empty for a model change
     */
    public record Order(String id, long fencing, Kind kind, String model, String role) {

        /** Validates the components. */
        public Order {
            Arguments.requireText(id, "orderId");
            Arguments.requireText(kind == Kind.ROLE ? role : model, "model or role");
        }
    }

    private final boolean mChecksFencing;
    private final Set<String> mModels;
    private final Set<String> mAppliedIds = new HashSet<>();
    private long mNewestFencing = -1;
    private int mStaleOrders;
    private String mRole = "";

    /**
     * Creates the state before any order.
     *
     * @param models the initially loaded models
     * @param checksFencing whether orders with an old fencing number are refused
     */
    public EngineOrders(final Set<String> models, final boolean checksFencing) {
        mModels = new TreeSet<>(models);
        mChecksFencing = checksFencing;
    }

    /**
     * Applies an order; a repeated order has no further effect.
     *
     * @param order the order
     * @return the newest fencing number if the order is refused as stale, else empty
     */
    public OptionalLong apply(final Order order) {
        final boolean isStale = order.fencing() < mNewestFencing;
        if (mAppliedIds.contains(order.id())) {
            return OptionalLong.empty();
        }
        if (isStale && mChecksFencing) {
            return OptionalLong.of(mNewestFencing);
        }
        mStaleOrders += isStale ? 1 : 0;
        mAppliedIds.add(order.id());
        mNewestFencing = Math.max(mNewestFencing, order.fencing());
        if (order.kind() == Kind.UNLOAD) {
            mModels.remove(order.model());
        } else if (order.kind() == Kind.ROLE) {
            mRole = order.role();
        }
        return OptionalLong.empty();
    }

    /** Marks a model as loaded and served. */
    public void loaded(final String model) {
        mModels.add(model);
    }

    /** Returns the models that are served. */
    public Set<String> models() {
        return Set.copyOf(mModels);
    }

    /** Returns the role, if one was ordered. */
    public Optional<String> role() {
        return mRole.isEmpty() ? Optional.empty() : Optional.of(mRole);
    }

    /** Returns the number of applied orders with an old fencing number. */
    public int staleOrders() {
        return mStaleOrders;
    }
}
