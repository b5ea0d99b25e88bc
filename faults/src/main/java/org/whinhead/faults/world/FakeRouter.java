package org.whinhead.faults.world;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.routing.Router;

/** Chooses at random from a lagging list and insists that each send is ended once. */
final class FakeRouter implements Router {

    private final FakeWorld mWorld;
    private final List<Send> mSends = new ArrayList<>();

    FakeRouter(final FakeWorld world) {
        mWorld = world;
    }

    @Override
    public Optional<Endpoint> choose(
            final RequestSpec spec, final Set<EndpointId> excluded, final Instant now) {
        final List<Endpoint> open =
                mWorld.backends().stream()
                        .filter(backend -> backend.isListed(now))
                        .map(FakeBackend::endpoint)
                        .filter(endpoint -> endpoint.kind() == spec.kind())
                        .filter(endpoint -> !excluded.contains(endpoint.id()))
                        .toList();
        if (open.isEmpty()) {
            return Optional.empty();
        }
        return send(open.get(mWorld.random().nextInt(open.size())), spec);
    }

    @Override
    public Optional<Endpoint> find(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        return mWorld.backends().stream()
                .filter(backend -> backend.isListed(now))
                .map(FakeBackend::endpoint)
                .filter(known -> known.id().equals(endpoint))
                .findFirst()
                .flatMap(known -> send(known, spec));
    }

    @Override
    public void ended(final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        if (!mSends.remove(new Send(spec.id(), endpoint))) {
            throw new AssertionError("ended without a send: " + spec.id() + " at " + endpoint);
        }
    }

    /** Returns the sends that were never ended. */
    List<String> open() {
        return mSends.stream().map(Send::toString).toList();
    }

    private Optional<Endpoint> send(final Endpoint endpoint, final RequestSpec spec) {
        mSends.add(new Send(spec.id(), endpoint.id()));
        return Optional.of(endpoint);
    }

    private record Send(RequestId request, EndpointId endpoint) {}
}
