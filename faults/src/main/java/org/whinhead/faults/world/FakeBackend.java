package org.whinhead.faults.world;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.VmState;
import org.whinhead.api.request.RequestId;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;
import org.whinhead.requests.PlainAnswer;

/** A fake engine or plain service that reports each run of a request to the world. */
public final class FakeBackend {

    /** The state of the back end, which decides how it handles connections. */
    public enum Mode {
        UP,
        REFUSING,
        FROZEN,
        DEAD
    }

    private static final Duration NEW_WORK_LIMIT = Duration.ofSeconds(2);
    private static final int TOKEN_MILLIS = 20;
    private static final int MAX_WORK_MILLIS = 200;
    private static final int FAULT_PERCENT = 5;
    private static final int HTTP_OK = 200;

    private final FakeWorld mWorld;
    private Endpoint mEndpoint;
    private Instant mLeavingSince = Instant.MAX;
    private final Map<String, FakeStream> mStreams = new LinkedHashMap<>();
    private final List<FakeAttemptConnection> mCalls = new ArrayList<>();
    private final List<PendingWork> mPendingWork = new ArrayList<>();
    private Mode mMode = Mode.UP;
    private int mNextStream;

    FakeBackend(final FakeWorld world, final Endpoint endpoint) {
        mWorld = world;
        mEndpoint = endpoint;
        world.clock().schedule(TOKEN_MILLIS, this::generateTokens);
    }

    public Endpoint endpoint() {
        return mEndpoint;
    }

    public Mode mode() {
        return mMode;
    }

    /** Changes the mode; a dead back end stays dead. */
    public void setMode(final Mode mode) {
        if (mMode == Mode.DEAD) {
            return;
        }
        mMode = mode;
        if (mode == Mode.DEAD) {
            die();
        } else if (mode == Mode.UP) {
            final List<PendingWork> waiting = List.copyOf(mPendingWork);
            mPendingWork.clear();
            waiting.forEach(pending -> pending.work().run());
        }
    }

    /** Loads a model; returns false if the back end is dead. */
    boolean load(final ModelRef model) {
        if (mMode == Mode.DEAD) {
            return false;
        }
        final Set<ModelRef> models = new HashSet<>(mEndpoint.models());
        models.add(model);
        mEndpoint = mEndpoint.toBuilder().models(models).build();
        return true;
    }

    /** Marks the VM as leaving, as of the first announcement. */
    void announceLeaving() {
        if (mLeavingSince == Instant.MAX) {
            mLeavingSince = mWorld.clock().now();
            mEndpoint = mEndpoint.toBuilder().vm(mEndpoint.vm().withState(VmState.LEAVING)).build();
        }
    }

    /** Stops the VM by order; fails if that interrupts requests. */
    void stopByOrder() {
        if (mMode != Mode.DEAD && runningCount() > 0) {
            throw new AssertionError("a planned stop interrupted requests at " + mEndpoint.id());
        }
        setMode(Mode.DEAD);
    }

    boolean isServingEngine() {
        return isServing() && mEndpoint.kind().isStreaming();
    }

    /** Returns whether the back end is up and not announced to leave. */
    public boolean isServing() {
        return mMode == Mode.UP && mLeavingSince == Instant.MAX;
    }

    boolean isProcessing(final RequestId request) {
        return mStreams.values().stream().anyMatch(s -> s.isFor(request) && !s.isDone())
                || mCalls.stream()
                        .anyMatch(connection -> connection.attempt().request().equals(request));
    }

    boolean hasGeneratedAll(final RequestId request) {
        return mStreams.values().stream().anyMatch(s -> s.isFor(request) && s.isDone());
    }

    /** Returns the number of requests in progress. */
    int runningCount() {
        return (int) mStreams.values().stream().filter(stream -> !stream.isDone()).count()
                + mCalls.size();
    }

    /** Breaks every connection; streams continue to run, calls lose their answers. */
    public void cutConnections() {
        mStreams.values().stream()
                .filter(stream -> stream.reader() != null)
                .forEach(stream -> stream.reader().sendFailure(AttemptFailure.CUT_DURING_ANSWER));
        mCalls.forEach(connection -> connection.sendFailure(AttemptFailure.CUT_BEFORE_ANSWER));
        mCalls.clear();
    }

    void generate(final FakeAttemptConnection connection, final long from) {
        connect(connection, false, () -> startStream(connection, from));
    }

    void call(final FakeAttemptConnection connection) {
        connect(connection, false, () -> startCall(connection));
    }

    void resume(final FakeAttemptConnection connection, final String streamId, final long from) {
        connect(
                connection,
                true,
                () -> {
                    if (mStreams.containsKey(streamId)) {
                        mStreams.get(streamId).attach(connection, from);
                    } else {
                        connection.sendFailure(AttemptFailure.STREAM_UNKNOWN);
                    }
                });
    }

    /** Stops a stream and returns it for import elsewhere; empty if that is impossible. */
    Optional<FakeStream> export(final String streamId) {
        final Optional<FakeStream> stream =
                mMode == Mode.DEAD || mMode == Mode.FROZEN
                        ? Optional.empty()
                        : Optional.ofNullable(mStreams.remove(streamId));
        stream.map(FakeStream::reader)
                .filter(reader -> mWorld.random().nextBoolean())
                .ifPresent(reader -> reader.sendFailure(AttemptFailure.CUT_DURING_ANSWER));
        return stream;
    }

    void importStream(final FakeAttemptConnection connection, final FakeStream source) {
        connect(
                connection,
                false,
                () -> {
                    final FakeStream copy = source.copyWithId(newStreamId());
                    mStreams.put(copy.id(), copy);
                    connection.send(new AttemptEvent.Moved(connection.attempt(), copy.id()), true);
                });
    }

    void cancel(final FakeAttemptConnection connection, final String streamId) {
        if (streamId.isEmpty()) {
            mStreams.values().removeIf(stream -> stream.reader() == connection);
        } else {
            mStreams.remove(streamId);
        }
    }

    private void connect(
            final FakeAttemptConnection connection,
            final boolean isResumption,
            final Runnable work) {
        if (!isResumption) {
            checkNoWorkAfterNotice(connection);
        }
        if (mMode == Mode.DEAD) {
            connection.sendFailure(AttemptFailure.CONNECT_FAILED);
        } else if (mMode == Mode.FROZEN) {
            mPendingWork.add(new PendingWork(connection, work));
        } else if (mMode == Mode.REFUSING && !isResumption) {
            connection.sendFailure(AttemptFailure.REFUSED_BY_ENDPOINT);
        } else {
            work.run();
        }
    }

    /** Fails if a daemon sends work after the limit; daemons that were paused are exempt. */
    private void checkNoWorkAfterNotice(final FakeAttemptConnection connection) {
        final Instant limit =
                mLeavingSince == Instant.MAX ? Instant.MAX : mLeavingSince.plus(NEW_WORK_LIMIT);
        if (mWorld.clock().now().isAfter(limit)
                && !connection.daemon().wasPausedSince(mLeavingSince)) {
            throw new AssertionError("new work at leaving endpoint " + mEndpoint.id());
        }
    }

    private void startStream(final FakeAttemptConnection connection, final long from) {
        final RequestId request = connection.attempt().request();
        mWorld.recordRun(request);
        final FakeStream stream = new FakeStream(mWorld, newStreamId(), request, from, from);
        mStreams.put(stream.id(), stream);
        stream.attach(connection, from);
    }

    private void startCall(final FakeAttemptConnection connection) {
        mWorld.recordRun(connection.attempt().request());
        mCalls.add(connection);
        final int workMillis = 1 + mWorld.random().nextInt(MAX_WORK_MILLIS);
        mWorld.clock().schedule(workMillis, () -> endCall(connection));
    }

    private void endCall(final FakeAttemptConnection connection) {
        if (mCalls.remove(connection)) {
            if (mWorld.lossPercent() > 0 && mWorld.isDrawn(FAULT_PERCENT)) {
                connection.sendFailure(AttemptFailure.FAULTED);
                return;
            }
            final PlainAnswer answer = new PlainAnswer(HTTP_OK, "text/plain", new byte[0]);
            connection.send(new AttemptEvent.Answered(connection.attempt(), answer), true);
        }
    }

    private void die() {
        cutConnections();
        mStreams.clear();
        mPendingWork.forEach(
                pending -> pending.connection().sendFailure(AttemptFailure.CUT_BEFORE_ANSWER));
        mPendingWork.clear();
    }

    private void generateTokens() {
        if (mMode != Mode.FROZEN) {
            List.copyOf(mStreams.values()).forEach(FakeStream::generateToken);
        }
        if (mMode != Mode.DEAD) {
            mWorld.clock().schedule(TOKEN_MILLIS, this::generateTokens);
        }
    }

    private String newStreamId() {
        mNextStream++;
        return mEndpoint.id() + "-s" + mNextStream;
    }

    private record PendingWork(FakeAttemptConnection connection, Runnable work) {}
}
