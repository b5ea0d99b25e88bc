package org.whinhead.faults.world;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.routing.AffinityRouter;
import org.whinhead.routing.LoadReport;
import org.whinhead.routing.Router;
import org.whinhead.routing.RoutingSettings;

/** A real router with delayed VM lists and load reports; checks that each send ends once. */
final class FakeRouter implements Router {

    private final FakeWorld mWorld;
    private final AffinityRouter mRouter;
    private final List<Send> mSends = new ArrayList<>();

    FakeRouter(final FakeWorld world, final long seed) {
        mWorld = world;
        mRouter =
                new AffinityRouter(
                        RoutingSettings.of(FakeFleet.domains().get(0)), new SplittableRandom(seed));
        mRouter.endpointsChanged(world.fleet().vmList().endpoints());
    }

    /** Passes the delayed VM list and load reports to the router. */
    void refresh(final Instant now) {
        mRouter.endpointsChanged(mWorld.fleet().vmList().endpoints());
        for (final FakeBackend backend : mWorld.fleet().backends()) {
            if (backend.mode() == FakeBackend.Mode.UP && !mWorld.fleet().areReportsFrozen()) {
                final EndpointId id = backend.endpoint().id();
                final LoadReport report =
                        new LoadReport(id, now.minusMillis(300), backend.runningCount(), 0, 50);
                mRouter.loadReported(report, now);
            }
        }
    }

    void onEndpointLeaving(final EndpointId endpoint) {
        mRouter.endpointLeaving(endpoint);
    }

    int inFlightAt(final EndpointId endpoint) {
        return mRouter.inFlightAt(endpoint);
    }

    @Override
    public Optional<Endpoint> choose(
            final RequestSpec spec, final Set<EndpointId> excluded, final Instant now) {
        return recordSend(mRouter.choose(spec, excluded, now), spec);
    }

    @Override
    public Optional<Endpoint> dispatchTo(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        return recordSend(mRouter.dispatchTo(endpoint, spec, now), spec);
    }

    @Override
    public void attemptSucceeded(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        mRouter.attemptSucceeded(endpoint, spec, now);
    }

    @Override
    public void attemptFailed(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        mRouter.attemptFailed(endpoint, spec, now);
    }

    @Override
    public void attemptEnded(final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        if (!mSends.remove(new Send(spec.id(), endpoint))) {
            throw new AssertionError(
                    "attempt ended without a send: " + spec.id() + " at " + endpoint);
        }
        mRouter.attemptEnded(endpoint, spec, now);
    }

    /** Returns the sends that have not ended. */
    List<String> openSends() {
        return mSends.stream().map(Send::toString).toList();
    }

    private Optional<Endpoint> recordSend(final Optional<Endpoint> chosen, final RequestSpec spec) {
        chosen.ifPresent(endpoint -> mSends.add(new Send(spec.id(), endpoint.id())));
        return chosen;
    }

    private record Send(RequestId request, EndpointId endpoint) {}
}
