package org.whinhead.bench.retries;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.bench.engine.EngineListener;
import org.whinhead.bench.engine.EngineModel;
import org.whinhead.bench.engine.EngineSettings;
import org.whinhead.bench.engine.Sequence;
import org.whinhead.bench.engine.Simulation;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;
import org.whinhead.routing.CacheEvent;
import org.whinhead.routing.LoadReport;

/** A simulated engine behind a connection with injected faults. */
final class FaultyEngine implements EngineListener {

    /** The text of each token. */
    static final String TOKEN_TEXT = "t ";

    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);
    private static final int MIN_CUT_DELAY_MILLIS = 300;
    private static final int CUT_JITTER_MILLIS = 700;

    private final Simulation mSimulation;
    private final Random mRandom;
    private final EngineModel mModel;
    private final Consumer<CacheEvent> mCacheEvents;
    private final Map<AttemptId, Stream> mStreams = new LinkedHashMap<>();
    private final Map<Sequence, Stream> mBySequence = new HashMap<>();
    private EngineFault mFault = EngineFault.NONE;
    private long mEndedComputedTokens;

    FaultyEngine(
            final int number,
            final EndpointId id,
            final Simulation simulation,
            final Random random,
            final Consumer<CacheEvent> cacheEvents) {
        mSimulation = simulation;
        mRandom = random;
        mCacheEvents = cacheEvents;
        mModel = new EngineModel(number, id, EngineSettings.DEFAULT, simulation, this);
    }

    /** Sets the fault; streams that were cut or silenced do not recover. */
    void setFault(final EngineFault fault) {
        mFault = fault;
        for (final Stream stream : new ArrayList<>(mStreams.values())) {
            if (fault == EngineFault.CUTS_STREAMS) {
                cut(stream);
            } else if (fault == EngineFault.SILENT) {
                stream.mMuted = true;
            }
        }
    }

    /**
     * Starts an attempt that generates the rest of an answer.
     *
     * @param answerTokens length of the whole answer, in tokens
     * @param fromIndex index of the first token to generate
     */
    void generate(
            final AttemptId attempt,
            final RequestSpec spec,
            final int answerTokens,
            final long fromIndex,
            final Consumer<AttemptEvent> events) {
        final int remainingTokens = (int) (answerTokens - fromIndex);
        final Stream stream =
                new Stream(attempt, new Sequence(spec, remainingTokens), fromIndex, events);
        if (mFault == EngineFault.UNREACHABLE) {
            send(stream, new AttemptEvent.Failed(attempt, AttemptFailure.CONNECT_FAILED, "fault"));
            return;
        }
        stream.mMuted = mFault == EngineFault.SILENT;
        send(stream, new AttemptEvent.Opened(attempt, attempt.toString()));
        if (remainingTokens <= 0) {
            send(stream, new AttemptEvent.Finished(attempt, "stop", 0, 0, fromIndex));
            return;
        }
        mStreams.put(attempt, stream);
        mBySequence.put(stream.mSequence, stream);
        mModel.submit(stream.mSequence);
        if (mFault == EngineFault.CUTS_STREAMS) {
            final int millis = MIN_CUT_DELAY_MILLIS + mRandom.nextInt(CUT_JITTER_MILLIS);
            mSimulation.schedule(Duration.ofMillis(millis), () -> cut(stream));
        }
    }

    /** Cancels an attempt; does nothing if the attempt is not running. */
    void cancel(final AttemptId attempt) {
        final Stream stream = mStreams.get(attempt);
        if (stream != null) {
            mModel.cancel(stream.mSequence);
            remove(stream);
        }
    }

    /** Returns whether the engine's load reports reach the daemons. */
    boolean canReportLoad() {
        return mFault == EngineFault.NONE || mFault == EngineFault.CUTS_STREAMS;
    }

    LoadReport load() {
        return mModel.loadReport();
    }

    /** Returns the number of prompt and answer tokens computed so far. */
    long computedTokens() {
        long computed = mEndedComputedTokens;
        for (final Stream stream : mStreams.values()) {
            computed += stream.mSequence.computedTokens();
        }
        return computed;
    }

    @Override
    public void tokenDecoded(final int engine, final Sequence sequence) {
        final Stream stream = mBySequence.get(sequence);
        final long index = stream.mFromIndex + sequence.generatedTokens() - 1;
        send(stream, new AttemptEvent.Token(stream.mAttempt, index, TOKEN_TEXT));
    }

    @Override
    public void sequenceFinished(final int engine, final Sequence sequence) {
        final Stream stream = mBySequence.get(sequence);
        final long answer = stream.mFromIndex + sequence.generatedTokens();
        final int prompt = sequence.spec().promptTokens();
        final int cached = prompt - sequence.uncachedPromptTokens();
        remove(stream);
        send(stream, new AttemptEvent.Finished(stream.mAttempt, "stop", prompt, cached, answer));
    }

    @Override
    public void cacheChanged(final CacheEvent event) {
        mCacheEvents.accept(event);
    }

    private void cut(final Stream stream) {
        if (!mStreams.containsKey(stream.mAttempt)) {
            return;
        }
        final boolean hasStarted = stream.mSequence.generatedTokens() > 0;
        cancel(stream.mAttempt);
        final AttemptFailure failure =
                hasStarted ? AttemptFailure.CUT_DURING_ANSWER : AttemptFailure.CUT_BEFORE_ANSWER;
        send(stream, new AttemptEvent.Failed(stream.mAttempt, failure, "fault"));
    }

    private void remove(final Stream stream) {
        mStreams.remove(stream.mAttempt);
        mBySequence.remove(stream.mSequence);
        mEndedComputedTokens += stream.mSequence.computedTokens();
    }

    private void send(final Stream stream, final AttemptEvent event) {
        if (!stream.mMuted) {
            mSimulation.schedule(ONE_WAY_DELAY, () -> stream.mEvents.accept(event));
        }
    }

    /** One attempt at this engine. */
    private static final class Stream {
        private final AttemptId mAttempt;
        private final Sequence mSequence;
        private final long mFromIndex;
        private final Consumer<AttemptEvent> mEvents;
        private boolean mMuted;

        Stream(
                final AttemptId attempt,
                final Sequence sequence,
                final long fromIndex,
                final Consumer<AttemptEvent> events) {
            mAttempt = attempt;
            mSequence = sequence;
            mFromIndex = fromIndex;
            mEvents = events;
        }
    }
}
