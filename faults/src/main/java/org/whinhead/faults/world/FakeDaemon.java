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

/** A daemon around a real coordinator; it may pause, stop or die. */
public final class FakeDaemon implements RequestActions {

    private static final int TICK_MILLIS = 50;
    private static final int CLAIM_MILLIS = 15;
    private static final int STATE_MILLIS = 50;
    private static final int ROUND_MILLIS = 250;
    private static final int MAX_DELAY_MILLIS = 5;

    private final FakeWorld mWorld;
    private final FakeRouter mRouter;
    private final DefaultRequestCoordinator mCoordinator;
    private final Map<AttemptId, FakeLink> mLinks = new HashMap<>();
    private final Map<RequestId, FakeConnection> mConnections = new HashMap<>();
    private final DaemonId mId;
    private final FakeProcess mProcess;
    private final DaemonClaims mClaims;
    private final DaemonState mState;
    private final FleetDuty mDuty;
    private boolean mStopping;

    FakeDaemon(final FakeWorld world, final DaemonId id, final long seed) {
        mWorld = world;
        mId = id;
        mProcess = new FakeProcess(world.time());
        mClaims = new DaemonClaims(world.log(), this, mProcess);
        mState = new DaemonState(world.log(), id, mProcess, seed);
        mDuty = new FleetDuty(world, mState, mProcess);
        mRouter = new FakeRouter(world, seed);
        mCoordinator =
                DefaultRequestCoordinator.builder()
                        .router(mRouter)
                        .admission(new FifoAdmission(40, 10))
                        .actions(this)
                        .settings(world.settings())
                        .random(new SplittableRandom(seed))
                        .build();
        mProcess.every(TICK_MILLIS, mCoordinator::tick);
        mProcess.every(ROUND_MILLIS, this::round);
        mProcess.every(CLAIM_MILLIS, mClaims::tick);
        mProcess.every(STATE_MILLIS, this::tickState);
    }

    /** Returns its identity, which no later daemon shares. */
    public DaemonId id() {
        return mId;
    }

    public DefaultRequestCoordinator coordinator() {
        return mCoordinator;
    }

    int inProgressAt(final EndpointId endpoint) {
        return mRouter.inProgressAt(endpoint);
    }

    /** Tells whether it was paused at or after a time. */
    boolean wasPausedSince(final Instant time) {
        return !mProcess.pausedUntil().isBefore(time);
    }

    DaemonState state() {
        return mState;
    }

    void changeSetting(final FakeOperator.Change change) {
        mProcess.post(now -> change.offer(mState.log(), now));
    }

    public boolean isAlive() {
        return mProcess.isAlive();
    }

    boolean isOpen() {
        return isAlive() && !mStopping;
    }

    /** Returns what is left over once all requests have ended. */
    String leftovers() {
        return mCoordinator.requestCount() == 0 && mRouter.open().isEmpty() && mLinks.isEmpty()
                ? ""
                : mCoordinator.requestCount() + " requests, " + mRouter.open() + mLinks.keySet();
    }

    void arrived(final FakeCaller caller) {
        mProcess.post(
                now -> {
                    if (!caller.wants(this)) {
                        return;
                    }
                    if (mConnections.containsKey(caller.id())) {
                        caller.connectLater();
                        return;
                    }
                    mConnections.put(caller.id(), new FakeConnection(caller, 0));
                    mCoordinator.submit(caller.spec(), now);
                });
    }

    void returned(
            final FakeCaller caller, final Ticket ticket, final long have, final String text) {
        mProcess.post(
                now -> {
                    if (caller.wants(this)) {
                        mConnections.put(caller.id(), new FakeConnection(caller, have));
                        mCoordinator.resume(caller.spec(), ticket, have, text, now);
                    }
                });
    }

    void callerLeft(final RequestId request) {
        mProcess.post(
                now -> {
                    mConnections.remove(request);
                    mCoordinator.onCallerDisconnected(request, now);
                });
    }

    void endpointLeaving(final EndpointId endpoint, final Instant goneBy) {
        mProcess.post(
                now -> {
                    mRouter.leaving(endpoint);
                    mCoordinator.onEndpointLeaving(endpoint, goneBy, now);
                });
    }

    void claimDecided(final RequestId request, final ClaimOutcome outcome) {
        mProcess.post(now -> mCoordinator.onClaimDecided(request, outcome, now));
    }

    void handle(final AttemptEvent event) {
        final boolean last =
                event instanceof AttemptEvent.Failed
                        || event instanceof AttemptEvent.Finished
                        || event instanceof AttemptEvent.Answered;
        if (last) {
            mLinks.remove(event.attempt());
        }
        mProcess.post(now -> mCoordinator.onAttemptEvent(event, now));
    }

    /** Stops handling events for a while; what arrives waits. */
    public void pause(final long millis) {
        mProcess.pause(millis);
    }

    /** Shuts down as planned; at the end nothing may be in progress. */
    public void stop(final long noticeMillis) {
        mStopping = true;
        final Instant goneBy = mWorld.time().now().plusMillis(noticeMillis);
        mProcess.post(now -> mCoordinator.beginShutdown(goneBy, now));
        mWorld.time().after(noticeMillis, () -> endOfStop(goneBy));
    }

    /** Ends the process at once; its callers are cut off. */
    public void die() {
        mProcess.die();
        mLinks.clear();
        mWorld.callers().stream().filter(c -> c.wants(this)).forEach(FakeCaller::cutOff);
        mConnections.clear();
    }

    @Override
    public void generate(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String deliveredText,
            final long deliveredTokens) {
        connect(attempt, endpoint, (link, to) -> to.generate(link, deliveredTokens));
    }

    @Override
    public void resume(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String streamId,
            final long fromIndex) {
        connect(attempt, endpoint, (link, to) -> to.resume(link, streamId, fromIndex));
    }

    @Override
    public void move(
            final AttemptId attempt,
            final Endpoint from,
            final String streamId,
            final Endpoint to) {
        connect(attempt, from, (link, source) -> export(link, source, streamId, to));
    }

    @Override
    public void call(final AttemptId attempt, final Endpoint endpoint) {
        connect(attempt, endpoint, (link, to) -> to.call(link));
    }

    @Override
    public void cancel(final AttemptId attempt, final Endpoint endpoint, final String streamId) {
        final Optional<FakeLink> link = Optional.ofNullable(mLinks.remove(attempt));
        link.ifPresent(FakeLink::close);
        final FakeBackend backend = mWorld.fleet().backend(endpoint.id());
        mProcess.send(delay(), () -> backend.cancel(link.orElse(null), streamId));
    }

    @Override
    public void release(final AttemptId attempt) {
        Optional.ofNullable(mLinks.remove(attempt)).ifPresent(FakeLink::close);
    }

    @Override
    public void claim(final RequestId request) {
        mClaims.claim(mWorld.caller(request).spec(), mWorld.time().now());
    }

    @Override
    public void unclaim(final RequestId request) {
        mClaims.unclaim(request, mWorld.time().now());
    }

    @Override
    public void deliver(final RequestId request, final long index, final String text) {
        mConnections.get(request).token(index, text);
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
        final FakeConnection connection = mConnections.remove(request);
        if (connection.isCurrent()) {
            connection.caller().refused(refusal);
        }
    }

    @Override
    public void ticket(final RequestId request, final Ticket ticket) {
        final FakeConnection connection = mConnections.get(request);
        if (connection.isCurrent()) {
            connection.caller().takeTicket(ticket);
        }
    }

    @Override
    public void handBack(final RequestId request, final Ticket ticket, final Refusal refusal) {
        final FakeConnection connection = mConnections.remove(request);
        if (connection.isCurrent()) {
            connection.caller().sentAway(ticket, refusal.retryAfter().orElseThrow());
        }
    }

    private void export(
            final FakeLink link,
            final FakeBackend source,
            final String streamId,
            final Endpoint to) {
        final Optional<FakeStream> cache = source.export(streamId);
        if (cache.isEmpty()) {
            link.fail(AttemptFailure.STREAM_UNKNOWN);
            return;
        }
        final FakeBackend target = mWorld.fleet().backend(to.id());
        mProcess.send(delay(), () -> target.importStream(link, cache.get()));
    }

    private void connect(final AttemptId attempt, final Endpoint endpoint, final Work work) {
        final FakeLink link = new FakeLink(mWorld, this, attempt);
        mLinks.put(attempt, link);
        mProcess.send(
                delay(),
                () -> {
                    if (link.isOpen()) {
                        work.accept(link, mWorld.fleet().backend(endpoint.id()));
                    }
                });
    }

    private void round(final Instant now) {
        mRouter.refresh(now);
        mDuty.tick(now);
    }

    private void tickState(final Instant now) {
        mState.tick(now);
        mWorld.stateOracle().check(this, now);
    }

    private int delay() {
        return 1 + mWorld.random().nextInt(MAX_DELAY_MILLIS);
    }

    private void endOfStop(final Instant goneBy) {
        final boolean wasPaused = goneBy.minusMillis(TICK_MILLIS).isBefore(mProcess.pausedUntil());
        if (isAlive() && !wasPaused && mCoordinator.requestCount() > 0) {
            throw new AssertionError("a planned stop cut requests: " + leftovers());
        }
        die();
    }

    /** What a connection is made for. */
    private interface Work {
        void accept(FakeLink link, FakeBackend backend);
    }
}
