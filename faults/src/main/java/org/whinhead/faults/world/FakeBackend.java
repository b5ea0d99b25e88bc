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
    private static final int OK = 200;

    private final FakeWorld mWorld;
    private Endpoint mEndpoint;
    private Instant mLeavingSince = Instant.MAX;
    private final Map<String, FakeStream> mStreams = new LinkedHashMap<>();
    private final List<FakeLink> mCalls = new ArrayList<>();
    private final List<Waiting> mWaiting = new ArrayList<>();
    private Mode mMode = Mode.UP;
    private int mNextStream;

    FakeBackend(final FakeWorld world, final Endpoint endpoint) {
        mWorld = world;
        mEndpoint = endpoint;
        world.time().after(TOKEN_MILLIS, this::step);
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
            final List<Waiting> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
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
    void leaving() {
        if (mLeavingSince == Instant.MAX) {
            mLeavingSince = mWorld.time().now();
            mEndpoint = mEndpoint.toBuilder().vm(mEndpoint.vm().withState(VmState.LEAVING)).build();
        }
    }

    /** The cloud stops the VM by order, which must not cut a request. */
    void stopAsPlanned() {
        if (mMode != Mode.DEAD && running() > 0) {
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

    boolean worksOn(final RequestId request) {
        return mStreams.values().stream().anyMatch(s -> s.isFor(request) && !s.isDone())
                || mCalls.stream().anyMatch(link -> link.attempt().request().equals(request));
    }

    boolean hasMadeAll(final RequestId request) {
        return mStreams.values().stream().anyMatch(s -> s.isFor(request) && s.isDone());
    }

    /** Returns how many requests it works on. */
    int running() {
        return (int) mStreams.values().stream().filter(stream -> !stream.isDone()).count()
                + mCalls.size();
    }

    /** Breaks every connection; what runs goes on. */
    public void cutConnections() {
        mStreams.values().stream()
                .filter(stream -> stream.reader() != null)
                .forEach(stream -> stream.reader().fail(AttemptFailure.CUT_DURING_ANSWER));
        mCalls.forEach(link -> link.fail(AttemptFailure.CUT_BEFORE_ANSWER));
        mCalls.clear();
    }

    void generate(final FakeLink link, final long from) {
        connect(link, false, () -> startStream(link, from));
    }

    void call(final FakeLink link) {
        connect(link, false, () -> startCall(link));
    }

    void resume(final FakeLink link, final String streamId, final long from) {
        connect(
                link,
                true,
                () -> {
                    if (mStreams.containsKey(streamId)) {
                        mStreams.get(streamId).read(link, from);
                    } else {
                        link.fail(AttemptFailure.STREAM_UNKNOWN);
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
                .ifPresent(reader -> reader.fail(AttemptFailure.CUT_DURING_ANSWER));
        return stream;
    }

    void importStream(final FakeLink link, final FakeStream source) {
        connect(
                link,
                false,
                () -> {
                    final FakeStream copy = source.movedTo(newStreamId());
                    mStreams.put(copy.id(), copy);
                    link.send(new AttemptEvent.Moved(link.attempt(), copy.id()), true);
                });
    }

    void cancel(final FakeLink link, final String streamId) {
        if (streamId.isEmpty()) {
            mStreams.values().removeIf(stream -> stream.reader() == link);
        } else {
            mStreams.remove(streamId);
        }
    }

    private void connect(final FakeLink link, final boolean always, final Runnable work) {
        if (!always) {
            checkNewWork(link);
        }
        if (mMode == Mode.DEAD) {
            link.fail(AttemptFailure.CONNECT_FAILED);
        } else if (mMode == Mode.FROZEN) {
            mWaiting.add(new Waiting(link, work));
        } else if (mMode == Mode.REFUSING && !always) {
            link.fail(AttemptFailure.REFUSED_BY_ENDPOINT);
        } else {
            work.run();
        }
    }

    /** A daemon that was not paused must know of the notice by now. */
    private void checkNewWork(final FakeLink link) {
        final Instant limit =
                mLeavingSince == Instant.MAX ? Instant.MAX : mLeavingSince.plus(NEW_WORK_LIMIT);
        if (mWorld.time().now().isAfter(limit) && !link.daemon().wasPausedSince(mLeavingSince)) {
            throw new AssertionError("new work at leaving " + mEndpoint.id());
        }
    }

    private void startStream(final FakeLink link, final long from) {
        final RequestId request = link.attempt().request();
        mWorld.ran(request);
        final FakeStream stream = new FakeStream(mWorld, newStreamId(), request, from, from);
        mStreams.put(stream.id(), stream);
        stream.read(link, from);
    }

    private void startCall(final FakeLink link) {
        mWorld.ran(link.attempt().request());
        mCalls.add(link);
        final int work = 1 + mWorld.random().nextInt(MAX_WORK_MILLIS);
        mWorld.time().after(work, () -> endCall(link));
    }

    private void endCall(final FakeLink link) {
        if (mCalls.remove(link)) {
            if (mWorld.lossPercent() > 0 && mWorld.chance(FAULT_PERCENT)) {
                link.fail(AttemptFailure.FAULTED);
                return;
            }
            final PlainAnswer answer = new PlainAnswer(OK, "text/plain", new byte[0]);
            link.send(new AttemptEvent.Answered(link.attempt(), answer), true);
        }
    }

    private void die() {
        cutConnections();
        mStreams.clear();
        mWaiting.forEach(each -> each.link().fail(AttemptFailure.CUT_BEFORE_ANSWER));
        mWaiting.clear();
    }

    private void step() {
        if (mMode != Mode.FROZEN) {
            List.copyOf(mStreams.values()).forEach(FakeStream::step);
        }
        if (mMode != Mode.DEAD) {
            mWorld.time().after(TOKEN_MILLIS, this::step);
        }
    }

    private String newStreamId() {
        mNextStream++;
        return mEndpoint.id() + "-s" + mNextStream;
    }

    private record Waiting(FakeLink link, Runnable work) {}
}
