package org.whinhead.serving.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Remembers what the requests have in common that were in progress on endpoints that crashed, and
 * holds back those under which endpoints crash again and again.
 *
 * <p>Each request has several features: itself, and the parts of its prompt. A crash counts against
 * all features of all requests on the endpoint, most of which are innocent. So it raises the level
 * of a feature only if it follows the one before: its run began in the knowledge of that one, or it
 * came clearly later. Endpoints that are lost together count once. A complete answer, at any
 * daemon, lowers the levels of all features of its request.
 *
 * <p>While a feature is suspected, requests with it run one at a time, over all daemons, until an
 * answer begins. One that is answered usually is not held up by a single crash.
 *
 * <p>From {@link #BLOCKED_LEVEL} on, a request is refused, unless each crash that counts against
 * its feature can be explained by another one that it doesn't have: then it may be sound, runs once
 * by itself, and its outcome shows what is to blame. Refused requests are tried again after growing
 * pauses, since the endpoints may have been mended.
 */
public final class CrashSuspects {

    /** The level from which requests run one at a time even if they are answered usually. */
    public static final int GUARDED_LEVEL = 2;

    /** The level from which requests are refused. */
    public static final int BLOCKED_LEVEL = 3;

    /** The delay sent to callers of requests that may run soon. */
    static final Duration GUARD_RETRY_AFTER = Duration.ofMillis(300);

    /** The time for which a feature is remembered after its last crash. */
    private static final Duration MEMORY = Duration.ofMinutes(10);

    /** The same for a feature whose requests are refused, also after the last refusal. */
    private static final Duration BLOCKED_MEMORY = Duration.ofDays(1);

    private final SuspectTable mTable = new SuspectTable();
    private final AnsweredFeatures mAnswered = new AnsweredFeatures();
    private final GuardedEndpoints mEndpoints = new GuardedEndpoints();
    private final CrashEvents mEvents = new CrashEvents();
    private final CrashExplanations mExplanations = new CrashExplanations(mTable, mEvents);
    private final SuspectReport mReport = new SuspectReport(mTable, mExplanations);

    /**
     * Sets the place of this daemon among all, as each begins its reports with other features.
     *
     * @param rank the place, from 0
     */
    public void setRank(final int rank) {
        mReport.setRank(rank);
    }

    /**
     * Returns whether any suspected feature has a shape; if not, there is no need for a digest.
     *
     * @param shape the shape of a feature
     * @return whether the feature may be suspected
     */
    public boolean mayKnow(final int shape) {
        return mTable.containsShape(shape);
    }

    /**
     * Returns the number of crashes that count against a feature.
     *
     * @param feature the feature
     * @param now the current time
     * @return the level; 0 if the feature is not suspected
     */
    public int level(final RequestFeature feature, final Instant now) {
        return mTable.find(feature, now).map(Suspect::level).orElse(0);
    }

    /**
     * Decides whether a request may be sent to an endpoint.
     *
     * @param features the features of the request that may be suspected
     * @param history how often requests with a feature were answered lately
     * @param now the current time
     * @return the decision
     */
    public SuspectDecision decide(
            final Collection<RequestFeature> features,
            final Function<RequestFeature, AnswerHistory> history,
            final Instant now) {
        Duration longest = Duration.ZERO;
        for (final RequestFeature feature : features) {
            final Optional<Suspect> found = mTable.find(feature, now);
            if (found.isPresent()) {
                final Duration delay = delay(found.get(), features, history.apply(feature), now);
                longest = delay.compareTo(longest) > 0 ? delay : longest;
            }
        }
        return longest.isZero() ? SuspectDecision.RUN : SuspectDecision.refuse(longest);
    }

    private Duration delay(
            final Suspect suspect,
            final Collection<RequestFeature> features,
            final AnswerHistory history,
            final Instant now) {
        if (mExplanations.isBlocked(suspect, features)) {
            suspect.keepUntil(now.plus(BLOCKED_MEMORY));
            final Instant trialAt = suspect.raisedAt().plus(history.trialDelay(suspect.level()));
            if (now.isBefore(trialAt)) {
                return Duration.between(now, trialAt);
            }
        }
        return suspect.guardDelay(history, now);
    }

    /**
     * Records that a request is about to run.
     *
     * @param features the features of the request that may be suspected
     * @param history how often requests with a feature were answered lately
     * @param now the current time
     * @return the features of which other daemons must start no request for a while
     */
    public List<RequestFeature> recordStart(
            final Collection<RequestFeature> features,
            final Function<RequestFeature, AnswerHistory> history,
            final Instant now) {
        final List<RequestFeature> guarded = new ArrayList<>();
        for (final RequestFeature feature : features) {
            final Optional<Suspect> found = mTable.find(feature, now);
            if (found.isPresent() && found.get().isGuarded(history.apply(feature))) {
                found.get().startAttempt(mExplanations.isBlocked(found.get(), features), now);
                guarded.add(feature);
            }
        }
        return guarded;
    }

    /**
     * Returns whether a request with suspected features runs at an endpoint. Another one there
     * would make it unclear which of them is to blame for a crash.
     *
     * @param endpoint the endpoint's id
     * @param now the current time
     * @return whether one runs at this daemon or another one
     */
    public boolean isGuarded(final String endpoint, final Instant now) {
        return mEndpoints.contains(endpoint, now);
    }

    /**
     * Records where a request runs that is guarded.
     *
     * @param features the features that its start has returned
     * @param endpoint the endpoint's id
     * @param now the current time
     */
    public void recordPlaced(
            final Collection<RequestFeature> features, final String endpoint, final Instant now) {
        mEndpoints.start(endpoint, features, now);
    }

    /**
     * Records that another daemon is about to run a request.
     *
     * @param features the features of which it runs the only request
     * @param endpoint the endpoint's id
     * @param now the current time
     */
    public void applyPeerStart(
            final Collection<RequestFeature> features, final String endpoint, final Instant now) {
        mEndpoints.start(endpoint, features, now);
        for (final RequestFeature feature : features) {
            mTable.find(feature, now)
                    .ifPresent(
                            suspect ->
                                    suspect.startAttempt(
                                            mExplanations.isBlocked(suspect, features), now));
        }
    }

    /**
     * Records that a run has ended without an answer or a crash.
     *
     * @param features the features that its start has returned
     * @param now the current time
     */
    public void recordEnd(final Collection<RequestFeature> features, final Instant now) {
        mEndpoints.end(features);
        features.forEach(feature -> mTable.find(feature, now).ifPresent(Suspect::endAttempt));
    }

    /**
     * Records that an endpoint has crashed while it had a request. It counts against the request
     * unless another one there was suspected before.
     *
     * @param run all features of the request, with the levels that were known when it was sent
     * @param history how often requests with a feature were answered lately
     * @param endpoint the endpoint's id
     * @param now the current time
     * @return the features that the crash counts against, with their levels after it
     */
    public List<FeatureLevel> recordCrash(
            final List<FeatureLevel> run,
            final Function<RequestFeature, AnswerHistory> history,
            final String endpoint,
            final Instant now) {
        final List<RequestFeature> features = run.stream().map(FeatureLevel::feature).toList();
        final List<FeatureLevel> blamed = new ArrayList<>();
        final long crash = mEvents.add(endpoint, features, now);
        if (mEndpoints.explain(endpoint, features, now)) {
            return blamed;
        }
        final boolean isShared = mEndpoints.containsOther(endpoint, features, now);
        for (final FeatureLevel lost : blamed(run, features, now)) {
            if (isShared && history.apply(lost.feature()).outweighsOthers()) {
                // Of two suspected requests there, the one that is answered usually is innocent.
                continue;
            }
            final Suspect suspect =
                    mTable.find(lost.feature(), now).orElseGet(() -> new Suspect(now));
            final int level = suspect.levelAfterCrash(crash, lost.level(), now);
            crashed(new FeatureLevel(lost.feature(), level), suspect, crash, now);
            blamed.add(new FeatureLevel(lost.feature(), suspect.level()));
        }
        return blamed;
    }

    /** Returns the features that explain a crash: those that are refused, or else all. */
    private List<FeatureLevel> blamed(
            final List<FeatureLevel> run, final List<RequestFeature> features, final Instant now) {
        final List<FeatureLevel> blocked =
                run.stream()
                        .filter(
                                lost ->
                                        mTable.find(lost.feature(), now)
                                                .filter(
                                                        suspect ->
                                                                mExplanations.isBlocked(
                                                                        suspect, features))
                                                .isPresent())
                        .toList();
        return blocked.isEmpty() ? run : blocked;
    }

    private void crashed(
            final FeatureLevel lost, final Suspect suspect, final long crash, final Instant now) {
        suspect.recordCrash(crash);
        raise(lost, suspect, now, MEMORY);
    }

    private void raise(
            final FeatureLevel raised,
            final Suspect suspect,
            final Instant now,
            final Duration memory) {
        mAnswered.remove(raised.feature());
        if (suspect.raise(raised.level(), now)) {
            // The feature that was raised last is the last one to be removed for want of room.
            mTable.putLast(raised.feature(), suspect);
            suspect.keepUntil(now.plus(raised.level() >= BLOCKED_LEVEL ? BLOCKED_MEMORY : memory));
        }
    }

    /**
     * Applies a crash that another daemon has recorded.
     *
     * @param run the features of a request that was in progress there, with their levels
     * @param endpoint the endpoint's id
     * @param now the current time
     */
    public void applyPeerCrash(
            final List<FeatureLevel> run, final String endpoint, final Instant now) {
        final long crash =
                mEvents.add(endpoint, run.stream().map(FeatureLevel::feature).toList(), now);
        for (final FeatureLevel lost : run) {
            final Suspect suspect =
                    mTable.find(lost.feature(), now).orElseGet(() -> new Suspect(now));
            crashed(lost, suspect, crash, now);
        }
    }

    /**
     * Records that the answer to a request has begun.
     *
     * @param features the features of the request that may be suspected
     * @param now the current time
     * @return the features of which other daemons must hear that
     */
    public List<RequestFeature> recordBegun(
            final Collection<RequestFeature> features, final Instant now) {
        final List<RequestFeature> begun =
                features.stream()
                        .filter(
                                feature ->
                                        mTable.find(feature, now)
                                                .filter(Suspect::recordBegun)
                                                .isPresent())
                        .toList();
        mEndpoints.end(begun);
        return begun;
    }

    /**
     * Records that an endpoint has answered a request completely. That outweighs one crash of those
     * that count against each of its features: of what crashes endpoints nearly always, some
     * requests are answered too.
     *
     * @param features the features of the request that may be suspected
     * @param now the current time
     * @return the features that were suspected until now, with their levels after it, of which
     *     other daemons must hear
     */
    public List<FeatureLevel> recordAnswer(
            final Collection<RequestFeature> features, final Instant now) {
        final List<FeatureLevel> answered = new ArrayList<>();
        for (final RequestFeature feature : features) {
            mTable.find(feature, now)
                    .filter(suspect -> !suspect.isSoundApart())
                    .ifPresent(
                            suspect ->
                                    answered.add(new FeatureLevel(feature, suspect.level() - 1)));
        }
        applyAnswer(new FeatureAnswer(answered, true), now);
        return answered;
    }

    private void applyAnswer(final FeatureAnswer answer, final Instant now) {
        final List<RequestFeature> features = answer.plainFeatures();
        mEndpoints.end(features);
        for (final FeatureLevel answered : answer.features()) {
            mAnswered.add(answered.feature(), now);
            mTable.find(answered.feature(), now)
                    .ifPresent(suspect -> lower(answered, suspect, features));
        }
    }

    private void lower(
            final FeatureLevel answered,
            final Suspect suspect,
            final Collection<RequestFeature> features) {
        if (suspect.level() >= BLOCKED_LEVEL
                && mExplanations.isExplainedWithout(suspect, features)) {
            suspect.recordAnswerApart();
        } else if (answered.level() == 0) {
            mTable.remove(answered.feature());
        } else {
            suspect.lower(answered.level());
        }
    }

    /**
     * Applies an answer that another daemon has recorded.
     *
     * @param answer the suspected features of the answered request
     * @param now the current time
     */
    public void applyPeerAnswer(final FeatureAnswer answer, final Instant now) {
        if (answer.isComplete()) {
            applyAnswer(answer, now);
        } else {
            recordBegun(answer.plainFeatures(), now);
        }
    }

    /**
     * Applies what another daemon remembers.
     *
     * @param record an entry of its report
     * @param now the current time
     * @return whether that daemon must hear that a request with the feature was answered since
     */
    public boolean applyPeerRecord(final SuspectRecord record, final Instant now) {
        if (mAnswered.containsRecent(record.feature(), now)) {
            return true;
        }
        if (!record.keptFor().isNegative() && !record.keptFor().isZero()) {
            merge(record, now);
        }
        return false;
    }

    private void merge(final SuspectRecord record, final Instant now) {
        final Suspect suspect =
                mTable.find(record.feature(), now).orElseGet(() -> Suspect.learnedLater(now));
        final Duration keptFor =
                record.keptFor().compareTo(BLOCKED_MEMORY) < 0 ? record.keptFor() : BLOCKED_MEMORY;
        if (record.level() > suspect.level()) {
            suspect.setCompanions(record.companions());
        }
        raise(new FeatureLevel(record.feature(), record.level()), suspect, now, keptFor);
        if (suspect.level() == record.level()) {
            suspect.keepUntil(now.plus(keptFor));
        }
    }

    /**
     * Returns the next of the suspected features that daemons must know of which have started or
     * were cut off, in turn.
     *
     * @param most the most features to return
     * @param now the current time
     * @return features of {@link #GUARDED_LEVEL} or above
     */
    public List<SuspectRecord> nextRecords(final int most, final Instant now) {
        return mReport.next(most, now);
    }

    /**
     * Returns the number of features whose requests are refused.
     *
     * @return the features of {@link #BLOCKED_LEVEL} or above that are not known to be sound apart
     *     from others
     */
    public int blockedCount() {
        final int[] count = {0};
        mTable.forEach(
                (feature, suspect) -> {
                    if (suspect.level() >= BLOCKED_LEVEL && !suspect.isSoundApart()) {
                        count[0]++;
                    }
                });
        return count[0];
    }

    /**
     * Returns the number of features that are remembered.
     *
     * @return the features of any level
     */
    public int size() {
        return mTable.size();
    }
}
