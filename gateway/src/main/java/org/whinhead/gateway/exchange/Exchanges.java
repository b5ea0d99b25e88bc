package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.caller.CallerRequestHandler;
import org.whinhead.gateway.caller.CallerResponse;
import org.whinhead.gateway.caller.Refusal;
import org.whinhead.gateway.endpoint.EndpointConnections;
import org.whinhead.gateway.endpoint.EndpointProtocol;
import org.whinhead.gateway.endpoint.RunMover;
import org.whinhead.gateway.time.LoopLag;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.route.Route;

/** Checks requests against the configuration in force and starts those that are allowed. */
public final class Exchanges implements CallerRequestHandler {

    /** When a caller comes back that came before this daemon knew any configuration. */
    private static final Duration NO_CONFIGURATION_RETRY_AFTER = Duration.ofMillis(300);

    /** How long an endpoint serves on that only says that it is leaving: the platform's least. */
    private static final Duration DEFAULT_NOTICE = Duration.ofMillis(2_000);

    /**
     * What is kept of a notice for moving: it is read up to 0.8 s late, and the copies of a full
     * endpoint take some 0.3 s. Most runs are over before, and need no move.
     */
    private static final Duration MOVE_LEAD_TIME = Duration.ofMillis(1_400);

    /** The pace at which {@link #measureLag()} must be called. */
    public static final Duration LAG_MEASUREMENT_INTERVAL = Duration.ofMillis(200);

    private final EventLoop mLoop;
    private final ServingState mState;
    private final EndpointConnections mConnections;
    private final EndpointProtocol mProtocol;
    private final RequestLogger mRequestLogger;
    private final RunMover mMover;
    private final Set<Exchange> mRunning = new HashSet<>();
    private final LoopLag mLag;
    private boolean mRefusesStreams;

    /**
     * Makes a handler without requests.
     *
     * @param loop where everything runs
     * @param state the decision objects
     * @param connections the connections to endpoints
     * @param protocol how endpoints are spoken to
     * @param journal logs what became of each request
     * @param mover moves runs off leaving endpoints
     */
    public Exchanges(
            final EventLoop loop,
            final ServingState state,
            final EndpointConnections connections,
            final EndpointProtocol protocol,
            final RequestLogger journal,
            final RunMover mover) {
        mLoop = loop;
        mState = state;
        mConnections = connections;
        mProtocol = protocol;
        mRequestLogger = journal;
        mMover = mover;
        mLag = new LoopLag(LAG_MEASUREMENT_INTERVAL, state.clock().instant());
    }

    /** Notes that the loop runs, so that the age of what it reads is known. */
    public void measureLag() {
        mLag.taskRan(mState.clock().instant());
    }

    /** Refuses streams from now on, as this daemon stops before they would end. */
    public void refuseStreams() {
        mRefusesStreams = true;
    }

    @Override
    public ActiveRequest serve(
            final CallerRequest request, final ByteBuf body, final CallerResponse answer) {
        final Instant now = mState.clock().instant();
        final Instant arrivedAt = now.minus(mLag.lagAt(now));
        final Optional<ServingConfiguration> current = mState.configuration().current();
        if (current.isEmpty()) {
            return refuse(
                    request,
                    body,
                    answer,
                    Refusal.notRun("no configuration yet", NO_CONFIGURATION_RETRY_AFTER));
        }
        final ServingConfiguration configuration = current.get();
        final Optional<Route> route = configuration.routes().find(request.host(), request.path());
        if (route.isEmpty()) {
            return refuse(
                    request,
                    body,
                    answer,
                    Refusal.invalid(HttpResponseStatus.NOT_FOUND, "no such route"));
        }
        final Optional<CustomerAccount> customer =
                request.key().flatMap(configuration::customerOfKey);
        final boolean needsKey = configuration.isKeyRequired() && !route.get().isKeyless();
        if (needsKey && customer.isEmpty()) {
            return refuse(
                    request,
                    body,
                    answer,
                    Refusal.invalid(HttpResponseStatus.UNAUTHORIZED, "unknown key"));
        }
        if (mRefusesStreams && route.get().kind().isStream()) {
            return refuse(request, body, answer, Refusal.notRun("stopping", Duration.ZERO));
        }
        if (customer.isEmpty()) {
            return start(
                    new Admission(request, route.get(), customer, Optional.empty(), arrivedAt),
                    body,
                    answer);
        }
        return new PendingAdmission(
                this,
                new PendingAdmission.Candidate(request, route.get(), customer.get(), arrivedAt),
                body,
                answer);
    }

    /** Starts a request that is allowed. */
    ActiveRequest start(
            final Admission admission, final ByteBuf body, final CallerResponse answer) {
        final Exchange exchange = new Exchange(this, admission, body, answer);
        mRunning.add(exchange);
        exchange.start();
        return exchange;
    }

    /**
     * Moves what runs at a leaving endpoint before it is gone.
     *
     * @param endpoint the endpoint's id
     * @param leavesIn how much longer it serves, as far as it says
     */
    public void endpointLeaving(final String endpoint, final Optional<Duration> leavesIn) {
        final Duration moveAfter = leavesIn.orElse(DEFAULT_NOTICE).minus(MOVE_LEAD_TIME);
        final Duration delay = moveAfter.isNegative() ? Duration.ZERO : moveAfter;
        List.copyOf(mRunning).forEach(exchange -> exchange.endpointLeaving(endpoint, delay));
    }

    void exchangeEnded(final Exchange exchange) {
        mRunning.remove(exchange);
    }

    ActiveRequest refuse(
            final CallerRequest request,
            final ByteBuf body,
            final CallerResponse answer,
            final Refusal refusal) {
        body.release();
        mRequestLogger.refused(request, refusal);
        answer.refuse(refusal);
        return new RefusedRequest();
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

    RequestLogger requestLogger() {
        return mRequestLogger;
    }

    private static final class RefusedRequest implements ActiveRequest {
        @Override
        public void callerDisconnected() {
            // Nothing is under way for a request that was refused.
        }

        @Override
        public void callerCaughtUp() {
            // The refusal was written whole.
        }
    }
}
