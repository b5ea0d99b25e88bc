package org.whinhead.admission;

import java.util.Collection;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.api.model.ModelRef;

/** Works out how many requests of a target one daemon runs at once. */
public final class CapacityShare {

    private CapacityShare() {}

    /**
     * Returns a daemon's share of the slots of the endpoints that serve a target.
     *
     * <p>An even share leaves slots idle when callers come to few daemons; a factor above 1 lets
     * each daemon take more, and the endpoints queue what is too much at once.
     *
     * @param endpoints every endpoint
     * @param target the target
     * @param daemons how many daemons send to these endpoints
     * @param factor how far above the even share a daemon may go
     * @return the slots, at least 1 if any endpoint that accepts new work serves the target, or 0
     */
    public static int slots(
            final Collection<Endpoint> endpoints,
            final Target target,
            final int daemons,
            final double factor) {
        Arguments.requireAtLeast(daemons, 1, "daemons");
        long total = 0;
        for (final Endpoint endpoint : endpoints) {
            if (endpoint.vm().state().acceptsNewWork() && serves(endpoint, target)) {
                total += endpoint.slots();
            }
        }
        final long share = Math.min(total, (long) Math.ceil(total * factor / daemons));
        return (int) share;
    }

    private static boolean serves(final Endpoint endpoint, final Target target) {
        if (endpoint.kind() != target.kind()) {
            return false;
        }
        return endpoint.kind() == EndpointKind.PLAIN_SERVICE
                ? endpoint.service().equals(target.name())
                : endpoint.models().contains(ModelRef.parse(target.name()));
    }
}
