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

/** A fake engine or plain service, and the witness of what ran there. */
public final class FakeBackend {

    /** How it behaves towards new connections. */
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

    /** Changes how it behaves; what is dead stays dead. */
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
            waiting.forEach(each -> each.work().run());
        }
    }

    /** Takes a model's weights in; false if it can't. */
    boolean load(final ModelRef model) {
        if (mMode == Mode.DEAD) {
            return false;
        }
        final Set<ModelRef> models = new HashSet<>(mEndpoint.models());
        models.add(model);
        mEndpoint = mEndpoint.toBuilder().models(models).build();
        return true;
    }

    /** Its VM was announced to leave. */
    void announceLeaving() {
        if (mLeavingSince == Instant.MAX) {
            mLeavingSince = mWorld.clock().now();
            mEndpoint = mEndpoint.toBuilder().vm(mEndpoint.vm().withState(VmState.LEAVING)).build();
        }
    }

    /** The cloud stops the VM by order, which must not cut a request. */
    void stopByOrder() {
        if (mMode != Mode.DEAD && runningCount() > 0) {
            throw new AssertionError("a planned stop cut requests at " + mEndpoint.id());
        }
        setMode(Mode.DEAD);
    }

    boolean isServingEngine() {
        return isServing() && mEndpoint.kind().isStreaming();
    }

    /** Tells whether it is up and was not announced to leave. */
    public boolean isServing() {
        return mMode == Mode.UP && mLeavingSince == Instant.MAX;
    }

    boolean isProcessing(final RequestId request) {
        return mStreams.values().stream().anyMatch(s -> s.isFor(request) && !s.isDone())
                || mCalls.stream().anyMatch(link -> link.attempt().request().equals(request));
    }

    boolean hasGeneratedAll(final RequestId request) {
        return mStreams.values().stream().anyMatch(s -> s.isFor(request) && s.isDone());
    }

    /** Returns how many requests it works on. */
    int runningCount() {
        return (int) mStreams.values().stream().filter(stream -> !stream.isDone()).count()
                + mCalls.size();
    }

    /** Breaks every connection; what runs goes on. */
    public void cutConnections() {
        mStreams.values().stream()
                .filter(stream -> stream.reader() != null)
                .forEach(stream -> stream.reader().sendFailure(AttemptFailure.CUT_DURING_ANSWER));
        mCalls.forEach(link -> link.sendFailure(AttemptFailure.CUT_BEFORE_ANSWER));
        mCalls.clear();
    }

    void generate(final FakeAttemptConnection link, final long from) {
        connect(link, false, () -> startStream(link, from));
    }

    void call(final FakeAttemptConnection link) {
        connect(link, false, () -> startCall(link));
    }

    void resume(final FakeAttemptConnection link, final String streamId, final long from) {
        connect(
                link,
                true,
                () -> {
                    if (mStreams.containsKey(streamId)) {
                        mStreams.get(streamId).attach(link, from);
                    } else {
                        link.sendFailure(AttemptFailure.STREAM_UNKNOWN);
                    }
                });
    }

    /** Gives a stream's KV cache away and stops the stream. */
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

    void importStream(final FakeAttemptConnection link, final FakeStream source) {
        connect(
                link,
                false,
                () -> {
                    final FakeStream copy = source.copyWithId(newStreamId());
                    mStreams.put(copy.id(), copy);
                    link.send(new AttemptEvent.Moved(link.attempt(), copy.id()), true);
                });
    }

    void cancel(final FakeAttemptConnection link, final String streamId) {
        if (streamId.isEmpty()) {
            mStreams.values().removeIf(stream -> stream.reader() == link);
        } else {
            mStreams.remove(streamId);
        }
    }

    private void connect(
            final FakeAttemptConnection link, final boolean always, final Runnable work) {
        if (!always) {
            checkNoWorkAfterNotice(link);
        }
        if (mMode == Mode.DEAD) {
            link.sendFailure(AttemptFailure.CONNECT_FAILED);
        } else if (mMode == Mode.FROZEN) {
            mPendingWork.add(new PendingWork(link, work));
        } else if (mMode == Mode.REFUSING && !always) {
            link.sendFailure(AttemptFailure.REFUSED_BY_ENDPOINT);
        } else {
            work.run();
        }
    }

    /** A daemon that was not paused must know of the notice by now. */
    private void checkNoWorkAfterNotice(final FakeAttemptConnection link) {
        final Instant limit =
                mLeavingSince == Instant.MAX ? Instant.MAX : mLeavingSince.plus(NEW_WORK_LIMIT);
        if (mWorld.clock().now().isAfter(limit) && !link.daemon().wasPausedSince(mLeavingSince)) {
            throw new AssertionError("new work at leaving " + mEndpoint.id());
        }
    }

    private void startStream(final FakeAttemptConnection link, final long from) {
        final RequestId request = link.attempt().request();
        mWorld.recordRun(request);
        final FakeStream stream = new FakeStream(mWorld, newStreamId(), request, from, from);
        mStreams.put(stream.id(), stream);
        stream.attach(link, from);
    }

    private void startCall(final FakeAttemptConnection link) {
        mWorld.recordRun(link.attempt().request());
        mCalls.add(link);
        final int work = 1 + mWorld.random().nextInt(MAX_WORK_MILLIS);
        mWorld.clock().schedule(work, () -> endCall(link));
    }

    private void endCall(final FakeAttemptConnection link) {
        if (mCalls.remove(link)) {
            if (mWorld.lossPercent() > 0 && mWorld.isDrawn(FAULT_PERCENT)) {
                link.sendFailure(AttemptFailure.FAULTED);
                return;
            }
            final PlainAnswer answer = new PlainAnswer(HTTP_OK, "text/plain", new byte[0]);
            link.send(new AttemptEvent.Answered(link.attempt(), answer), true);
        }
    }

    private void die() {
        cutConnections();
        mStreams.clear();
        mPendingWork.forEach(each -> each.link().sendFailure(AttemptFailure.CUT_BEFORE_ANSWER));
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

    private record PendingWork(FakeAttemptConnection link, Runnable work) {}
}
