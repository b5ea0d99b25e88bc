package org.whinhead.standins.engine;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.whinhead.api.Arguments;

/** What an engine was ordered to have loaded and to be; single-threaded. */
public final class EngineOrders {

    /** What an order asks for. */
    public enum Kind {
        /** Load a model; it is served once its weights are there. */
        LOAD,
        /** Unload a model. */
        UNLOAD,
        /** Change the engine's role. */
        ROLE
    }

    /**
     * One order.
     *
     * @param id its identity
     * @param fencing the fencing number of who gives it
     * @param kind what it asks for
     * @param model the model; empty for a role
     * @param role the role; empty for a model
     */
    public record Order(String id, long fencing, Kind kind, String model, String role) {

        /** Checks every part. */
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
     * Starts without any order.
     *
     * @param models the models loaded at the start
     * @param checksFencing whether an old fencing number is refused
     */
    public EngineOrders(final Set<String> models, final boolean checksFencing) {
        mModels = new TreeSet<>(models);
        mChecksFencing = checksFencing;
    }

    /**
     * Takes an order; the same one twice has one effect.
     *
     * @param order the order
     * @return the newest fencing number if the order is refused for an old one
     */
    public OptionalLong apply(final Order order) {
        final boolean old = order.fencing() < mNewestFencing;
        if (mAppliedIds.contains(order.id())) {
            return OptionalLong.empty();
        }
        if (old && mChecksFencing) {
            return OptionalLong.of(mNewestFencing);
        }
        mStaleOrders += old ? 1 : 0;
        mAppliedIds.add(order.id());
        mNewestFencing = Math.max(mNewestFencing, order.fencing());
        if (order.kind() == Kind.UNLOAD) {
            mModels.remove(order.model());
        } else if (order.kind() == Kind.ROLE) {
            mRole = order.role();
        }
        return OptionalLong.empty();
    }

    /** The weights of a model are there. */
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

    /** Returns how many orders with an old fencing number were carried out. */
    public int staleOrders() {
        return mStaleOrders;
    }
}
