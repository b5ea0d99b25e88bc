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
import org.whinhead.daemon.log.LogListener;
import org.whinhead.daemon.log.LogService;
import org.whinhead.daemon.log.LogSnapshot;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.requests.ClaimOutcome;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.state.claim.ClaimKey;

/** Connects the log service to the settings in force and to the decisions on requests. */
final class LogWiring implements LogListener, ClaimService, AutoCloseable {

    private static final Duration LOG_TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_MILLIS = 5;

    private final HttpCaller mCaller;
    private final LocalDaemonState mState;
    private final LiveRequests mRequests;
    private final DecisionLoop mLoop;
    private final LogService mService;
    private volatile boolean mClosed;

    LogWiring(
            final DaemonSettings settings,
            final DaemonOptions options,
            final HttpCaller caller,
            final LocalDaemonState state,
            final LiveRequests requests,
            final DecisionLoop loop) {
        mCaller = caller;
        mState = state;
        mRequests = requests;
        mLoop = loop;
        mService =
                new LogService(
                        state.id(),
                        new LogClient(caller, settings.platform().log(), LOG_TIMEOUT),
                        caller.anyThread(),
                        options.clock(),
                        options.log(),
                        this);
    }

    void start() {
        mService.start();
    }

    LogService service() {
        return mService;
    }

    @Override
    public void settingsChanged(final LogSnapshot snapshot) {
        // An empty log holds no settings, so those already in force remain.
        if (snapshot.revision() >= 0) {
            mState.settingsChanged(snapshot.settings(), snapshot.revision());
        }
    }

    @Override
    public void claim(final RequestId request) {
        mRequests
                .find(request)
                .ifPresent(
                        live ->
                                mService.claim(
                                        request,
                                        ClaimKey.of(live.spec().customer(), request.value())));
    }

    @Override
    public void withdraw(final RequestId request) {
        mService.withdraw(request);
    }

    /**
     * Passes a claim's decision to the decision thread. Guards against a full ring, which would
     * leave the caller without an answer until its request times out: the event is offered again
     * until the ring has room.
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
        mService.close();
    }
}
