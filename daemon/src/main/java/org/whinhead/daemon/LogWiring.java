package org.whinhead.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.whinhead.api.request.RequestId;
import org.whinhead.clients.http.HttpCaller;
import org.whinhead.clients.log.LogClient;
import org.whinhead.daemon.decision.DecisionEvent;
import org.whinhead.daemon.decision.DecisionLoop;
import org.whinhead.daemon.engine.ClaimService;
import org.whinhead.daemon.log.LogDuty;
import org.whinhead.daemon.log.LogListener;
import org.whinhead.daemon.log.LogStanding;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.requests.ClaimOutcome;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.state.claim.ClaimKey;

/** Ties the log duty to the settings in force and to the decisions on requests. */
final class LogWiring implements LogListener, ClaimService, AutoCloseable {

    private static final Duration LOG_TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_MILLIS = 5;

    private final HttpCaller mCaller;
    private final Standing mStanding;
    private final LiveRequests mRequests;
    private final DecisionLoop mLoop;
    private final LogDuty mDuty;
    private volatile boolean mClosed;

    LogWiring(
            final DaemonSettings settings,
            final DaemonOptions options,
            final HttpCaller caller,
            final Standing standing,
            final LiveRequests requests,
            final DecisionLoop loop) {
        mCaller = caller;
        mStanding = standing;
        mRequests = requests;
        mLoop = loop;
        mDuty =
                new LogDuty(
                        standing.id(),
                        new LogClient(caller, settings.platform().log(), LOG_TIMEOUT),
                        caller.anyThread(),
                        options.clock(),
                        options.log(),
                        this);
    }

    void start() {
        mDuty.start();
    }

    LogDuty duty() {
        return mDuty;
    }

    @Override
    public void settingsChanged(final LogStanding standing) {
        // A log on which nothing was ever put says nothing of the settings.
        if (standing.revision() >= 0) {
            mStanding.settingsChanged(standing.settings(), standing.revision());
        }
    }

    @Override
    public void claim(final RequestId request) {
        mRequests
                .find(request)
                .ifPresent(
                        live ->
                                mDuty.claim(
                                        request,
                                        ClaimKey.of(live.spec().customer(), request.value())));
    }

    @Override
    public void withdraw(final RequestId request) {
        mDuty.withdraw(request);
    }

    /**
     * Hands a decision to the decision thread. Guards against a full ring, which would leave the
     * caller without an answer until its request times out: it is offered until there is room.
     */
    @Override
    public void claimDecided(
            final RequestId request, final ClaimOutcome outcome, final Instant dispatchBy) {
        if (!mLoop.offer(new DecisionEvent.ClaimDecided(request, outcome, dispatchBy))
                && !mClosed) {
            mCaller.anyThread()
                    .executeAfter(
                            () -> claimDecided(request, outcome, dispatchBy),
                            RETRY_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mDuty.close();
    }
}
