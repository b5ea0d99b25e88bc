package org.whinhead.serving.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers by short hashes which features of requests were answered several times lately, whether
 * suspected or not. It is kept in calm too, so the hash must be cheap; two features with the same
 * one do little harm.
 */
public final class UsualRequests {

    /**
     * A common request comes again within this; what is asked for less often is on few endpoints.
     */
    private static final Duration MEMORY = Duration.ofSeconds(30);

    /** Of what crashes endpoints nearly always, one request or the other is answered too. */
    private static final int MANY = 3;

    private static final int MAX_FEATURES = 8_192;

    private final Map<Long, Answers> mAnswers = new LinkedHashMap<>();

    private record Answers(int count, Instant lastAt) {

        private boolean isRecent(final Instant now) {
            return now.isBefore(lastAt.plus(MEMORY));
        }
    }

    /**
     * Records a complete answer.
     *
     * @param hash the hash of a feature of the request
     * @param now the current time
     */
    public void recordAnswer(final long hash, final Instant now) {
        final Answers before = mAnswers.remove(hash);
        final int count = before != null && before.isRecent(now) ? before.count() : 0;
        mAnswers.put(hash, new Answers(Math.min(count + 1, MANY), now));
        if (mAnswers.size() > MAX_FEATURES) {
            mAnswers.remove(mAnswers.keySet().iterator().next());
        }
    }

    /**
     * Returns how often requests with a feature were answered lately.
     *
     * @param hash the hash of the feature
     * @param now the current time
     * @return what this daemon has had of answers to such requests
     */
    public AnswerHistory history(final long hash, final Instant now) {
        final Answers answers = mAnswers.get(hash);
        if (answers == null || !answers.isRecent(now)) {
            return AnswerHistory.NONE;
        }
        return answers.count() >= MANY ? AnswerHistory.MANY : AnswerHistory.SOME;
    }
}
