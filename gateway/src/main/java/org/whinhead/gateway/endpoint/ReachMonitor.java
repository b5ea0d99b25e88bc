package org.whinhead.gateway.endpoint;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointRegistry;
import org.whinhead.serving.endpoint.EndpointStart;
import org.whinhead.serving.reach.AccessPath;
import org.whinhead.serving.reach.EndpointReach;
import org.whinhead.serving.reach.ReachLevel;

/** Checks which endpoints this daemon reaches, and reports if it is cut off from them. */
public final class ReachMonitor {

    private static final Logger LOG = LoggerFactory.getLogger(ReachMonitor.class);

    /** The time within which an endpoint must answer a health check. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);

    private final EndpointConnector mConnector;
    private final EndpointProtocol mProtocol;
    private final EndpointReach mReach;
    private final EndpointConnections mConnections;
    private final SilenceDetector mSilence;
    private final Set<String> mChecked = new HashSet<>();
    private final EndpointRegistry mEndpoints;
    private final Function<String, String> mHealthPath;
    private Set<String> mCutOffServices = Set.of();
    private Predicate<String> mIsPaused = endpoint -> false;
    private Runnable mOnCutOffChange = () -> {};
    private BiConsumer<EndpointEntry, EndpointResponse> mOnHealthResponse =
            (endpoint, response) -> {};

    /**
     * Creates a monitor.
     *
     * @param connector opens connections for checks
     * @param connections the connections of requests
     * @param protocol encodes health checks
     * @param reach receives the results
     * @param endpoints the listed endpoints
     * @param healthPath returns the path of a service's health check
     * @param random selects the endpoints that are checked for their service
     */
    public ReachMonitor(
            final EndpointConnector connector,
            final EndpointConnections connections,
            final EndpointProtocol protocol,
            final EndpointReach reach,
            final EndpointRegistry endpoints,
            final Function<String, String> healthPath,
            final RandomGenerator random) {
        mConnector = Objects.requireNonNull(connector, "connector");
        mConnections = Objects.requireNonNull(connections, "connections");
        mSilence = new SilenceDetector(connections, this::checkable, random);
        mProtocol = Objects.requireNonNull(protocol, "protocol");
        mReach = Objects.requireNonNull(reach, "reach");
        mEndpoints = Objects.requireNonNull(endpoints, "endpoints");
        mHealthPath = Objects.requireNonNull(healthPath, "healthPath");
        mConnections.onNewConnectionLost(this::newConnectionLost);
    }

    private void newConnectionLost(final EndpointConnections.Pool pool) {
        checkAll(mSilence.suspectsAfterLoss(pool, mConnector.now()));
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
     * Excludes endpoints from checks that want no requests now.
     *
     * @param isPaused returns whether the endpoint with an id is excluded
     */
    public void exceptPaused(final Predicate<String> isPaused) {
        mIsPaused = isPaused;
    }

    private List<EndpointEntry> checkable(final String service) {
        return mEndpoints.usable(service).stream()
                .filter(endpoint -> !mIsPaused.test(endpoint.id()))
                .toList();
    }

    /**
     * Sets the handler of answers to health checks.
     *
     * @param onHealthResponse receives the endpoint, if it has answered itself, and the head
     */
    public void onHealthResponse(
            final BiConsumer<EndpointEntry, EndpointResponse> onHealthResponse) {
        mOnHealthResponse = onHealthResponse;
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
     * Returns the services from whose endpoints this daemon is cut off.
     *
     * @return the names of the services
     */
    public Set<String> cutOffServices() {
        return Set.copyOf(mCutOffServices);
    }

    /**
     * Starts the checks that are due; must be called several times per second.
     *
     * @param now the current time
     */
    public void tick(final Instant now) {
        mReach.nextRecheck(now)
                .filter(mIsPaused.negate())
                .flatMap(mEndpoints::find)
                .ifPresent(this::recheck);
        checkAll(mSilence.suspects(now));
        mConnections.waitingDirectly().stream()
                .filter(connection -> isPathLost(connection, now))
                .forEach(EndpointConnection::pathLost);
        final Set<String> cutOff = mReach.cutOffServices();
        if (!cutOff.equals(mCutOffServices)) {
            final boolean isNew = mCutOffServices.isEmpty();
            mCutOffServices = cutOff;
            logCutOff();
            mOnCutOffChange.run();
            if (isNew) {
                checkOtherServices(now);
            }
        }
    }

    /**
     * Checks the services that have not been found out of reach yet: their next requests may be
     * long in coming, and would be lost.
     */
    private void checkOtherServices(final Instant now) {
        mEndpoints.all().stream()
                .map(EndpointEntry::service)
                .distinct()
                .filter(service -> !mCutOffServices.contains(service))
                .forEach(service -> checkAll(mSilence.suspectsOf(service, now)));
    }

    /** Returns whether a response is awaited on a connection that leads nowhere. */
    private boolean isPathLost(final EndpointConnection connection, final Instant now) {
        final EndpointConnections.Pool pool = connection.pool();
        final Instant since = now.minus(SilenceDetector.SERVICE_SILENCE);
        return mReach.isSilent(pool.endpoint(), pool.service())
                && !connection.waitingSince().orElse(now).isAfter(since);
    }

    private void checkAll(final Set<String> endpoints) {
        endpoints.stream()
                .filter(mIsPaused.negate())
                .forEach(endpoint -> mEndpoints.find(endpoint).ifPresent(this::check));
    }

    private void check(final EndpointEntry endpoint) {
        final AccessPath path = mReach.pathTo(endpoint.id(), endpoint.service());
        if (path == AccessPath.DIRECT && mChecked.add(endpoint.id())) {
            new ReachCheck(
                            mConnector,
                            endpoint,
                            answered -> probe(endpoint, answered),
                            this::checked)
                    .start();
        }
    }

    private void checked(final ReachCheck check) {
        final EndpointEntry endpoint = check.endpoint();
        mChecked.remove(endpoint.id());
        LOG.atInfo()
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("service", endpoint.service())
                .addKeyValue("direct", check.directLevel())
                .addKeyValue("relayed", check.relayedLevel())
                .addKeyValue("relay", check.relay())
                .log("endpoint checked on both ways");
        if (check.directLevel() == ReachLevel.ANSWERED) {
            recordDirect(endpoint);
        } else if (check.relayedLevel().isAbove(check.directLevel())) {
            mReach.recordRelayed(
                    endpoint.id(), endpoint.service(), check.directLoss(), mConnector.now());
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
        return new HealthProbe(
                mProtocol.encodeHealthCheck(endpoint, path),
                response -> {
                    recordAnswer(endpoint, response);
                    onAnswered.run();
                });
    }

    private void recordAnswer(final EndpointEntry endpoint, final HttpResponse response) {
        final Optional<String> answeredBy = mProtocol.decodeEndpointId(response);
        if (answeredBy.equals(Optional.of(endpoint.id()))) {
            mOnHealthResponse.accept(endpoint, mProtocol.decode(response));
        } else if (answeredBy.isPresent()) {
            LOG.atInfo()
                    .addKeyValue("endpoint", endpoint.id())
                    .addKeyValue("answeredBy", answeredBy.get())
                    .log("another endpoint answers at the address");
            mEndpoints.markLeaving(EndpointStart.of(endpoint));
        }
    }

    private void recordDirect(final EndpointEntry endpoint) {
        mReach.recordDirect(endpoint.id(), endpoint.service(), mConnector.now());
    }
}
