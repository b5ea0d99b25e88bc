package org.whinhead.daemon.burn;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.daemon.request.CallerReply;
import org.whinhead.report.Outcome;
import org.whinhead.report.RequestSample;
import org.whinhead.report.SeriesKey;
import org.whinhead.requests.Completion;
import org.whinhead.requests.PlainAnswer;

/** Decorates a reply and measures its latency and tokens; used on the decision thread only. */
public final class MeasuredReply implements CallerReply {

    private final RequestSpec mSpec;
    private final CallerReply mReply;
    private final InstantSource mClock;
    private long mTokens;
    private long mFirstIndex;
    private long mRecomputedTokens;
    private Instant mFirstTokenAt;
    private Instant mEndedAt;
    private Outcome mOutcome = Outcome.CALLER_LEFT;

    MeasuredReply(final RequestSpec spec, final CallerReply reply, final InstantSource clock) {
        mSpec = spec;
        mReply = reply;
        mClock = clock;
    }

    @Override
    public void sendToken(final long index, final String text) {
        if (mTokens == 0) {
            mFirstIndex = index;
            mFirstTokenAt = mClock.instant();
        }
        mTokens++;
        mReply.sendToken(index, text);
    }

    @Override
    public void sendTicket(final String ticket) {
        mReply.sendTicket(ticket);
    }

    @Override
    public void complete(final Completion completion) {
        mRecomputedTokens = completion.recomputedTokens();
        end(Outcome.COMPLETED);
        mReply.complete(completion);
    }

    @Override
    public void sendAnswer(final PlainAnswer answer) {
        end(OutcomeClassifier.classify(answer));
        mReply.sendAnswer(answer);
    }

    @Override
    public void refuse(final Refusal refusal) {
        end(OutcomeClassifier.classify(refusal));
        mReply.refuse(refusal);
    }

    @Override
    public void handBack(final String ticket, final Refusal refusal) {
        end(Outcome.HANDED_OVER);
        mReply.handBack(ticket, refusal);
    }

    @Override
    public void supersede() {
        end(Outcome.HANDED_OVER);
        mReply.supersede();
    }

    /**
     * Returns the sample of the ended request.
     *
     * @param whole whether the whole response was written
     * @param at the time at which the response ended
     */
    RequestSample sample(final boolean whole, final Instant at) {
        return new RequestSample(
                new SeriesKey(mSpec.customer(), mSpec.tier().name()),
                outcome(whole),
                firstToken(),
                betweenTokens(),
                mTokens,
                mRecomputedTokens,
                at);
    }

    private void end(final Outcome outcome) {
        mOutcome = outcome;
        mEndedAt = mClock.instant();
    }

    /**
     * Returns the outcome. A completed answer whose caller disconnected before the last bytes were
     * written counts as left: the cost per completed request would be too low otherwise.
     */
    private Outcome outcome(final boolean whole) {
        return mOutcome == Outcome.COMPLETED && !whole ? Outcome.CALLER_LEFT : mOutcome;
    }

    /** Returns the latency of the first token; empty if the caller resumed and already had it. */
    private Optional<Duration> firstToken() {
        return mTokens > 0 && mFirstIndex == 0
                ? Optional.of(Duration.between(mSpec.arrived(), mFirstTokenAt))
                : Optional.empty();
    }

    /**
     * Returns the mean time between tokens; empty without a measured end, as of a caller that left.
     */
    private Optional<Duration> betweenTokens() {
        return mTokens > 1 && mEndedAt != null
                ? Optional.of(Duration.between(mFirstTokenAt, mEndedAt).dividedBy(mTokens - 1))
                : Optional.empty();
    }
}
