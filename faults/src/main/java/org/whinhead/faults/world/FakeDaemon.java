package org.whinhead.faults.world;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.whinhead.admission.FifoAdmission;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;
import org.whinhead.requests.ClaimOutcome;
import org.whinhead.requests.Completion;
import org.whinhead.requests.DefaultRequestCoordinator;
import org.whinhead.requests.PlainAnswer;
import org.whinhead.requests.RequestActions;
import org.whinhead.requests.Ticket;

/** A simulated daemon around a real request coordinator; it can be paused, stopped or crashed. */
public final class FakeDaemon implements RequestActions {

    private static final int TICK_MILLIS = 50;
    private static final int CLAIM_TICK_MILLIS = 15;
    private static final int STATE_TICK_MILLIS = 50;
    private static final int RECONCILE_MILLIS = 250;
    private static final int MAX_DELAY_MILLIS = 5;

    private final FakeWorld mWorld;
    private final FakeRouter mRouter;
    private final DefaultRequestCoordinator mCoordinator;
    private final Map<AttemptId, FakeAttemptConnection> mAttempts = new HashMap<>();
    private final Map<RequestId, FakeCallerConnection> mConnections = new HashMap<>();
    private final DaemonId mId;
    private final FakeProcess mProcess;
    private final DaemonClaims mClaims;
    private final DaemonState mState;
    private final FleetControlLoop mFleetLoop;
    private boolean mStopping;

    FakeDaemon(final FakeWorld world, final DaemonId id, final long seed) {
        mWorld = world;
        mId = id;
        mProcess = new FakeProcess(world.clock());
        mClaims = new DaemonClaims(world.log(), this, mProcess);
        mState = new DaemonState(world.log(), id, mProcess, seed);
        mFleetLoop = new FleetControlLoop(world, mState, mProcess);
        mRouter = new FakeRouter(world, seed);
        mCoordinator =
                DefaultRequestCoordinator.builder()
                        .router(mRouter)
                        .admission(new FifoAdmission(40, 10))
                        .actions(this)
                        .settings(world.settings())
                        .random(new SplittableRandom(seed))
                        .build();
        mProcess.scheduleEvery(TICK_MILLIS, mCoordinator::tick);
        mProcess.scheduleEvery(RECONCILE_MILLIS, this::refreshAndReconcile);
        mProcess.scheduleEvery(CLAIM_TICK_MILLIS, mClaims::tick);
        mProcess.scheduleEvery(STATE_TICK_MILLIS, this::tickState);
    }

    /** Returns the daemon's identity, which no later daemon reuses. */
    public DaemonId id() {
        return mId;
    }

    public DefaultRequestCoordinator coordinator() {
        return mCoordinator;
    }

    int inFlightAt(final EndpointId endpoint) {
        return mRouter.inFlightAt(endpoint);
    }

    /** Returns whether the daemon was paused at or after a time. */
    boolean wasPausedSince(final Instant time) {
        return !mProcess.pausedUntil().isBefore(time);
    }

    DaemonState state() {
        return mState;
    }

    void changeSetting(final FakeOperator.Change change) {
        mProcess.post(now -> change.appendTo(mState.log(), now));
    }

    public boolean isAlive() {
        return mProcess.isAlive();
    }

    boolean isAccepting() {
        return isAlive() && !mStopping;
    }

    /** Describes the open requests, sends and attempts; empty if there are none. */
    String unfinishedWork() {
        return mCoordinator.requestCount() == 0
                        && mRouter.openSends().isEmpty()
                        && mAttempts.isEmpty()
                ? ""
                : mCoordinator.requestCount()
                        + " requests, "
                        + mRouter.openSends()
                        + mAttempts.keySet();
    }

    void onRequest(final FakeCaller caller) {
        mProcess.post(
                now -> {
                    if (!caller.isAssignedTo(this)) {
                        return;
                    }
                    if (mConnections.containsKey(caller.id())) {
                        caller.connectLater();
                        return;
                    }
                    mConnections.put(caller.id(), new FakeCallerConnection(caller, 0));
                    mCoordinator.submit(caller.spec(), now);
                });
    }

    void onResume(
            final FakeCaller caller,
            final Ticket ticket,
            final long receivedTokens,
            final String text) {
        mProcess.post(
                now -> {
                    if (caller.isAssignedTo(this)) {
                        mConnections.put(
                                caller.id(), new FakeCallerConnection(caller, receivedTokens));
                        mCoordinator.resume(caller.spec(), ticket, receivedTokens, text, now);
                    }
                });
    }

    void onCallerDisconnected(final RequestId request) {
        mProcess.post(
                now -> {
                    mConnections.remove(request);
                    mCoordinator.onCallerDisconnected(request, now);
                });
    }

    void onEndpointLeaving(final EndpointId endpoint, final Instant goneBy) {
        mProcess.post(
                now -> {
                    mRouter.onEndpointLeaving(endpoint);
                    mCoordinator.onEndpointLeaving(endpoint, goneBy, now);
                });
    }

    void onClaimDecided(final RequestId request, final ClaimOutcome outcome) {
        mProcess.post(now -> mCoordinator.onClaimDecided(request, outcome, now));
    }

    void onAttemptEvent(final AttemptEvent event) {
        final boolean last =
                event instanceof AttemptEvent.Failed
                        || event instanceof AttemptEvent.Finished
                        || event instanceof AttemptEvent.Answered;
        if (last) {
            mAttempts.remove(event.attempt());
        }
        mProcess.post(now -> mCoordinator.onAttemptEvent(event, now));
    }

    /** Pauses event handling for a time in ms; events that arrive meanwhile are queued. */
    public void pause(final long millis) {
        mProcess.pause(millis);
    }

    /** Shuts down as planned; fails if requests are still in progress when the notice ends. */
    public void stop(final long noticeMillis) {
        mStopping = true;
        final Instant goneBy = mWorld.clock().now().plusMillis(noticeMillis);
        mProcess.post(now -> mCoordinator.beginShutdown(goneBy, now));
        mWorld.clock().schedule(noticeMillis, () -> finishStop(goneBy));
    }

    /** Ends the process at once; its callers lose their connections. */
    public void crash() {
        mProcess.crash();
        mAttempts.clear();
        mWorld.callers().stream()
                .filter(c -> c.isAssignedTo(this))
                .forEach(FakeCaller::loseConnection);
        mConnections.clear();
    }

    @Override
    public void generate(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String deliveredText,
            final long deliveredTokens) {
        connect(attempt, endpoint, (connection, to) -> to.generate(connection, deliveredTokens));
    }

    @Override
    public void resume(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String streamId,
            final long fromIndex) {
        connect(attempt, endpoint, (connection, to) -> to.resume(connection, streamId, fromIndex));
    }

    @Override
    public void move(
            final AttemptId attempt,
            final Endpoint from,
            final String streamId,
            final Endpoint to) {
        connect(attempt, from, (connection, source) -> export(connection, source, streamId, to));
    }

    @Override
    public void call(final AttemptId attempt, final Endpoint endpoint) {
        connect(attempt, endpoint, (connection, to) -> to.call(connection));
    }

    @Override
    public void cancel(final AttemptId attempt, final Endpoint endpoint, final String streamId) {
        final Optional<FakeAttemptConnection> connection =
                Optional.ofNullable(mAttempts.remove(attempt));
        connection.ifPresent(FakeAttemptConnection::close);
        final FakeBackend backend = mWorld.fleet().backend(endpoint.id());
        mProcess.send(delay(), () -> backend.cancel(connection.orElse(null), streamId));
    }

    @Override
    public void release(final AttemptId attempt) {
        Optional.ofNullable(mAttempts.remove(attempt)).ifPresent(FakeAttemptConnection::close);
    }

    @Override
    public void claim(final RequestId request) {
        mClaims.claim(mWorld.caller(request).spec(), mWorld.clock().now());
    }

    @Override
    public void unclaim(final RequestId request) {
        mClaims.unclaim(request, mWorld.clock().now());
    }

    @Override
    public void deliver(final RequestId request, final long index, final String text) {
        mConnections.get(request).deliver(index, text);
    }

    @Override
    public void complete(final RequestId request, final Completion completion) {
        mConnections.remove(request).complete();
    }

    @Override
    public void answer(final RequestId request, final PlainAnswer answer) {
        mConnections.remove(request).complete();
    }

    @Override
    public void refuse(final RequestId request, final Refusal refusal) {
        final FakeCallerConnection connection = mConnections.remove(request);
        if (connection.isCurrent()) {
            connection.caller().onRefused(refusal);
        }
    }

    @Override
    public void ticket(final RequestId request, final Ticket ticket) {
        final FakeCallerConnection connection = mConnections.get(request);
        if (connection.isCurrent()) {
            connection.caller().receiveTicket(ticket);
        }
    }

    @Override
    public void handBack(final RequestId request, final Ticket ticket, final Refusal refusal) {
        final FakeCallerConnection connection = mConnections.remove(request);
        if (connection.isCurrent()) {
            connection.caller().onHandedBack(ticket, refusal.retryAfter().orElseThrow());
        }
    }

    private void export(
            final FakeAttemptConnection connection,
            final FakeBackend source,
            final String streamId,
            final Endpoint to) {
        final Optional<FakeStream> stream = source.export(streamId);
        if (stream.isEmpty()) {
            connection.sendFailure(AttemptFailure.STREAM_UNKNOWN);
            return;
        }
        final FakeBackend target = mWorld.fleet().backend(to.id());
        mProcess.send(delay(), () -> target.importStream(connection, stream.get()));
    }

    private void connect(
            final AttemptId attempt, final Endpoint endpoint, final Operation operation) {
        final FakeAttemptConnection connection = new FakeAttemptConnection(mWorld, this, attempt);
        mAttempts.put(attempt, connection);
        mProcess.send(
                delay(),
                () -> {
                    if (connection.isOpen()) {
                        operation.accept(connection, mWorld.fleet().backend(endpoint.id()));
                    }
                });
    }

    private void refreshAndReconcile(final Instant now) {
        mRouter.refresh(now);
        mFleetLoop.tick(now);
    }

    private void tickState(final Instant now) {
        mState.tick(now);
        mWorld.stateOracle().check(this, now);
    }

    private int delay() {
        return 1 + mWorld.random().nextInt(MAX_DELAY_MILLIS);
    }

    private void finishStop(final Instant goneBy) {
        final boolean wasPaused = goneBy.minusMillis(TICK_MILLIS).isBefore(mProcess.pausedUntil());
        if (isAlive() && !wasPaused && mCoordinator.requestCount() > 0) {
            throw new AssertionError("a planned stop cut requests: " + unfinishedWork());
        }
        crash();
    }

    /** The operation that an attempt starts at its back end once it is connected. */
    private interface Operation {
        void accept(FakeAttemptConnection connection, FakeBackend backend);
    }
}
