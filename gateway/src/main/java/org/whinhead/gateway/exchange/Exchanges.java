package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.caller.CallerRequestHandler;
import org.whinhead.gateway.caller.CallerResponse;
import org.whinhead.gateway.caller.RefusalResponse;
import org.whinhead.gateway.crash.CrashDetector;
import org.whinhead.gateway.endpoint.EndpointConnections;
import org.whinhead.gateway.endpoint.EndpointProtocol;
import org.whinhead.gateway.endpoint.RunMover;
import org.whinhead.gateway.stream.LocalStreamDirectory;
import org.whinhead.gateway.stream.StreamDirectory;
import org.whinhead.gateway.time.LoopLag;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.stop.StopSchedule;
import org.whinhead.serving.stream.StreamOrigin;

/** Checks requests against the configuration in force and starts the allowed ones. */
public final class Exchanges implements CallerRequestHandler {

    /** The retry delay sent to callers while this daemon has no configuration. */
    private static final Duration NO_CONFIGURATION_RETRY_AFTER = Duration.ofMillis(300);

    /** The notice of leaving endpoints that state none: the platform's shortest one. */
    private static final Duration DEFAULT_NOTICE = Duration.ofMillis(2_000);

    /**
     * The time before an endpoint's end at which its runs are moved: a notice is read up to 0.8 s
     * late, and the copies of a full endpoint take about 0.3 s. Most runs end earlier and need no
     * move.
     */
    private static final Duration MOVE_LEAD_TIME = Duration.ofMillis(1_400);

    /** The interval at which {@link #measureLag()} must be called. */
    public static final Duration LAG_MEASUREMENT_INTERVAL = Duration.ofMillis(200);

    /** The retry delay of requests for which an entry of the configuration can't be used. */
    private static final Duration REJECTED_ENTRY_RETRY_AFTER = Duration.ofSeconds(1);

    /** A newer configuration is read within this, and other daemons may have it already. */
    private static final Duration BEHIND_RETRY_AFTER = Duration.ofMillis(100);

    private final EventLoop mLoop;
    private final ServingState mState;
    private final EndpointConnections mConnections;
    private final EndpointProtocol mProtocol;
    private final RequestLogger mRequestLogger;
    private final RunMover mMover;
    private final CrashDetector mCrashes;
    private final Set<Exchange> mRunning = new HashSet<>();
    private final Set<PendingRequest> mWaiting = new HashSet<>();
    private final AdmissionGate mAdmissionGate;
    private final LoopLag mLag;
    private final EndpointAnswers mAnswers;
    private StreamDirectory mStreams;

    /**
     * Creates a handler without requests.
     *
     * @param loop the event loop on which all work runs
     * @param state the decision objects
     * @param connections the connections to endpoints
     * @param protocol encodes requests to endpoints
     * @param requestLogger logs and counts the outcome of each request
     * @param mover moves runs from leaving endpoints to other ones
     * @param crashes finds the endpoints that have crashed
     */
    public Exchanges(
            final EventLoop loop,
            final ServingState state,
            final EndpointConnections connections,
            final EndpointProtocol protocol,
            final RequestLogger requestLogger,
            final RunMover mover,
            final CrashDetector crashes) {
        mLoop = loop;
        mState = state;
        mConnections = connections;
        mProtocol = protocol;
        mRequestLogger = requestLogger;
        mMover = mover;
        mCrashes = crashes;
        mAnswers = new EndpointAnswers(state, requestLogger.statements());
        mLag = new LoopLag(LAG_MEASUREMENT_INTERVAL, state.clock().instant());
        mAdmissionGate =
                new AdmissionGate(
                        state,
                        loop,
                        (task, delay) ->
                                loop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS));
        mStreams = new LocalStreamDirectory(state.streams(), state.clock());
    }

    /**
     * Sets the directory that knows the streams of other daemons as well.
     *
     * @param streams the directory
     */
    public void setStreams(final StreamDirectory streams) {
        mStreams = Objects.requireNonNull(streams, "streams");
    }

    /** Records that the event loop runs, so that the age of the requests it reads is known. */
    public void measureLag() {
        mLag.taskRan(mState.clock().instant());
    }

    /**
     * Begins a graceful stop: refuses the requests that were not sent and may last longer than this
     * process, places or refuses those that wait for slots, and lets no further ones wait.
     *
     * @param schedule the schedule of the stop
     */
    public void beginStop(final StopSchedule schedule) {
        mState.beginStop(schedule);
        mRequestLogger.stops().begin(schedule);
        List.copyOf(mRunning).forEach(Exchange::refuseIfStopping);
        mAdmissionGate.stop();
    }

    @Override
    public ActiveRequest serve(
            final CallerRequest request, final ByteBuf body, final CallerResponse response) {
        final Instant now = mState.clock().instant();
        final Instant arrivedAt = now.minus(mLag.lagAt(now));
        final Optional<ServingConfiguration> current = mState.configuration().current();
        if (current.isEmpty()) {
            return refuse(
                    request,
                    body,
                    response,
                    RefusalResponse.notRun("no configuration yet", NO_CONFIGURATION_RETRY_AFTER));
        }
        final ServingConfiguration configuration = current.get();
        final Optional<Route> route = configuration.routes().find(request.host(), request.path());
        if (route.isEmpty()) {
            return refuse(request, body, response, noRoute(configuration, request));
        }
        mRequestLogger.stops().requestRead(request, route.get());
        final Optional<CustomerAccount> customer =
                request.key().flatMap(configuration::customerOfKey);
        final boolean needsKey = configuration.isKeyRequired() && !route.get().isKeyless();
        if (needsKey && customer.isEmpty()) {
            return refuse(request, body, response, noCustomer(configuration, request));
        }
        final AdmittedRequest keyless =
                new AdmittedRequest(request, route.get(), customer, Optional.empty(), arrivedAt);
        if (!mState.outlasts(keyless.deadline())) {
            return refuse(
                    request,
                    body,
                    response,
                    RefusalResponse.notRun(RefusalFactory.STOPPING, Duration.ZERO));
        }
        if (customer.isEmpty()) {
            return start(keyless, body, response);
        }
        return track(
                new PendingAdmission(
                        this,
                        new PendingAdmission.Candidate(
                                request, route.get(), customer.get(), arrivedAt),
                        body,
                        response));
    }

    private RefusalResponse noRoute(
            final ServingConfiguration configuration, final CallerRequest request) {
        return configuration.routes().isRejected(request.host(), request.path())
                ? RefusalResponse.notRun(
                        "route in the configuration can't be used", REJECTED_ENTRY_RETRY_AFTER)
                : notAllowed(HttpResponseStatus.NOT_FOUND, "no such route");
    }

    private RefusalResponse noCustomer(
            final ServingConfiguration configuration, final CallerRequest request) {
        return request.key().filter(configuration.rejected().keys()::contains).isPresent()
                ? RefusalResponse.notRun(
                        "customer in the configuration can't be used", REJECTED_ENTRY_RETRY_AFTER)
                : notAllowed(HttpResponseStatus.UNAUTHORIZED, "unknown key");
    }

    /**
     * Returns the refusal of a request that the configuration in force does not allow. A newer one
     * that other daemons have may allow it; callers don't repeat what is refused for good.
     */
    private RefusalResponse notAllowed(final HttpResponseStatus status, final String reason) {
        return mState.configurationProgress().isBehind()
                ? RefusalResponse.notRun("configuration is behind: " + reason, BEHIND_RETRY_AFTER)
                : RefusalResponse.invalid(status, reason);
    }

    /** Starts an admitted request; one that resumes a stream waits for the stream's origin. */
    ActiveRequest start(
            final AdmittedRequest admission, final ByteBuf body, final CallerResponse response) {
        final boolean stream = admission.route().kind().isStream();
        if (stream) {
            recordResumableTime(admission);
        }
        final boolean resumes = stream && admission.request().resumeAfter().isPresent();
        return resumes
                ? track(new PendingResumption(this, admission, body, response))
                : startExchange(admission, Optional.empty(), body, response);
    }

    /** Keeps a request for as long as it waits for a decision. */
    private ActiveRequest track(final PendingRequest request) {
        if (request.isWaiting()) {
            mWaiting.add(request);
            request.onEnd(() -> mWaiting.remove(request));
        }
        return request;
    }

    private void recordResumableTime(final AdmittedRequest admission) {
        admission
                .request()
                .deadline()
                .ifPresent(
                        deadline ->
                                mState.resumableTimes()
                                        .record(
                                                admission.route().name(),
                                                deadline,
                                                mState.clock().instant()));
    }

    /** Starts the exchange of an admitted request, which may continue a stream. */
    ActiveRequest startExchange(
            final AdmittedRequest admission,
            final Optional<StreamOrigin> origin,
            final ByteBuf body,
            final CallerResponse response) {
        final Exchange exchange = new Exchange(this, admission, origin, body, response);
        mRunning.add(exchange);
        exchange.start();
        return exchange;
    }

    /**
     * Schedules the moves of the runs at a leaving endpoint.
     *
     * @param endpoint the endpoint's id
     * @param leavesIn the time for which the endpoint still serves, if it states one
     */
    public void endpointLeaving(final String endpoint, final Optional<Duration> leavesIn) {
        final Duration moveAfter = leavesIn.orElse(DEFAULT_NOTICE).minus(MOVE_LEAD_TIME);
        final Duration delay = moveAfter.isNegative() ? Duration.ZERO : moveAfter;
        List.copyOf(mRunning).forEach(exchange -> exchange.endpointLeaving(endpoint, delay));
    }

    /** Gives the requests that have no answer their last one, as the process is about to end. */
    public void answerBeforeExit() {
        List.copyOf(mWaiting).forEach(PendingRequest::answerBeforeExit);
        List.copyOf(mRunning)
                .forEach(exchange -> exchange.answerBeforeExit(mRequestLogger.stops()));
    }

    void exchangeEnded(final Exchange exchange) {
        mRunning.remove(exchange);
    }

    ActiveRequest refuse(
            final CallerRequest request,
            final ByteBuf body,
            final CallerResponse response,
            final RefusalResponse refusal) {
        return refuse(request, Optional.empty(), body, response, refusal);
    }

    /** Refuses a request, and logs its claim if the tokens for it were not granted. */
    ActiveRequest refuse(
            final CallerRequest request,
            final Optional<UnmetClaim> claim,
            final ByteBuf body,
            final CallerResponse response,
            final RefusalResponse refusal) {
        body.release();
        mRequestLogger.refused(request, claim, refusal);
        response.refuse(refusal);
        return new RefusedRequest();
    }

    /**
     * Returns what takes in what endpoints say of themselves in their responses.
     *
     * @return the answers of endpoints
     */
    public EndpointAnswers answers() {
        return mAnswers;
    }

    AdmissionGate admissionGate() {
        return mAdmissionGate;
    }

    EventLoop loop() {
        return mLoop;
    }

    ServingState state() {
        return mState;
    }

    EndpointConnections connections() {
        return mConnections;
    }

    EndpointProtocol protocol() {
        return mProtocol;
    }

    RunMover mover() {
        return mMover;
    }

    CrashDetector crashes() {
        return mCrashes;
    }

    StreamDirectory streams() {
        return mStreams;
    }

    RequestLogger requestLogger() {
        return mRequestLogger;
    }

    private static final class RefusedRequest implements ActiveRequest {
        @Override
        public void callerDisconnected() {
            // Nothing is in progress for a refused request.
        }

        @Override
        public void callerCaughtUp() {
            // The whole refusal was written at once.
        }
    }
}
