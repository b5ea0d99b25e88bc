package org.whinhead.admission;

import java.util.Collection;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.api.model.ModelRef;

/** Computes how many requests for a target one daemon may run concurrently. */
public final class CapacityShare {

    private CapacityShare() {}

    /**
     * Returns a daemon's share of the slots of the endpoints that serve a target.
     *
     * <p>An even share leaves slots idle when callers use only a few daemons. A factor above 1 lets
     * each daemon use more slots; the endpoints queue the excess.
     *
     * @param endpoints all endpoints
     * @param target the model or service
     * @param daemons the number of daemons that send to these endpoints, at least 1
     * @param factor the daemon's share as a multiple of the even share
     * @return the number of slots; at least 1 if an endpoint that accepts new work serves the
     *     target, else 0
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
