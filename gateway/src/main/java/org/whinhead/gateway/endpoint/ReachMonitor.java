package org.whinhead.gateway.endpoint;

import io.netty.channel.Channel;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.reach.EndpointReach;

/** Checks which endpoints this daemon reaches, and reports if it is cut off from them. */
public final class ReachMonitor {

    private static final Logger LOG = LoggerFactory.getLogger(ReachMonitor.class);

    /** The time within which an endpoint must answer a health check. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);

    private final EndpointConnector mConnector;
    private final EndpointProtocol mProtocol;
    private final EndpointReach mReach;
    private final Function<String, Optional<EndpointEntry>> mFindEndpoint;
    private final Function<String, String> mHealthPath;
    private Set<String> mCutOffServices = Set.of();
    private Runnable mOnCutOffChange = () -> {};

    /**
     * Creates a monitor.
     *
     * @param connector opens connections for checks
     * @param protocol encodes health checks
     * @param reach receives the results
     * @param findEndpoint finds a listed endpoint by its id
     * @param healthPath returns the path of a service's health check
     */
    public ReachMonitor(
            final EndpointConnector connector,
            final EndpointProtocol protocol,
            final EndpointReach reach,
            final Function<String, Optional<EndpointEntry>> findEndpoint,
            final Function<String, String> healthPath) {
        mConnector = Objects.requireNonNull(connector, "connector");
        mProtocol = Objects.requireNonNull(protocol, "protocol");
        mReach = Objects.requireNonNull(reach, "reach");
        mFindEndpoint = Objects.requireNonNull(findEndpoint, "findEndpoint");
        mHealthPath = Objects.requireNonNull(healthPath, "healthPath");
    }

    /**
     * Sets the action after this daemon was cut off from a service or reaches it again.
     *
     * @param onCutOffChange the action
     */
    public void onCutOffChange(final Runnable onCutOffChange) {
        mOnCutOffChange = onCutOffChange;
    }

    /**
     * Returns whether this daemon is cut off from the endpoints of some service.
     *
     * @return true if other daemons reach them and this one doesn't
     */
    public boolean isCutOff() {
        return !mCutOffServices.isEmpty();
    }

    /**
     * Starts the checks that are due; must be called several times per second.
     *
     * @param now the current time
     */
    public void tick(final Instant now) {
        mReach.nextRecheck(now).flatMap(mFindEndpoint).ifPresent(this::recheck);
        final Set<String> cutOff = mReach.cutOffServices();
        if (!cutOff.equals(mCutOffServices)) {
            mCutOffServices = cutOff;
            logCutOff();
            mOnCutOffChange.run();
        }
    }

    private void logCutOff() {
        LOG.atWarn()
                .addKeyValue("services", mCutOffServices)
                .addKeyValue("relayedEndpoints", mReach.relayedCount())
                .log(
                        mCutOffServices.isEmpty()
                                ? "endpoints reached directly again"
                                : "cut off from endpoints that other daemons reach");
    }

    private void recheck(final EndpointEntry endpoint) {
        final HealthProbe probe = probe(endpoint, () -> recordDirect(endpoint));
        final Channel channel =
                mConnector.connectDirectly(endpoint, probe, probe::send, cause -> {});
        mConnector.schedule(channel::close, ANSWER_TIMEOUT);
    }

    private HealthProbe probe(final EndpointEntry endpoint, final Runnable onAnswered) {
        final String path = mHealthPath.apply(endpoint.service());
        return new HealthProbe(mProtocol.encodeHealthCheck(endpoint, path), onAnswered);
    }

    private void recordDirect(final EndpointEntry endpoint) {
        mReach.recordDirect(endpoint.id(), endpoint.service(), mConnector.now());
    }
}
