package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinhead.gateway.crash.CrashDetector;
import org.whinhead.gateway.crash.FeatureSource;
import org.whinhead.gateway.crash.RequestFeatures;
import org.whinhead.serving.crash.AnswerHistory;
import org.whinhead.serving.crash.CrashSuspects;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.FeatureAnswer;
import org.whinhead.serving.crash.FeatureLevel;
import org.whinhead.serving.crash.RequestFeature;
import org.whinhead.serving.crash.SuspectDecision;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Records what becomes of the endpoints that have one request. */
final class CrashRecorder {

    /** The pause before a request that another one holds up is decided again. */
    private static final int GUARD_WAIT_MILLIS = 30;

    /** The pauses after which it is refused: most answers begin within them. */
    private static final int MAX_GUARD_WAITS = 8;

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final List<FeatureSource> mFeatures;
    private final Map<RequestFeature, Integer> mKnownLevels = new HashMap<>();
    private List<RequestFeature> mGuarded = List.of();
    private boolean mBegun;
    private boolean mAnswered;
    private int mAttemptId;

    CrashRecorder(final Exchanges exchanges, final AdmittedRequest admission, final ByteBuf body) {
        mExchanges = exchanges;
        mAdmission = admission;
        mFeatures = RequestFeatures.of(admission.request(), admission.customerName(), body);
    }

    private CrashSuspects suspects() {
        return mExchanges.state().suspects();
    }

    private Instant now() {
        return mExchanges.state().clock().instant();
    }

    /** Returns the features of the request that may be suspected. */
    private List<RequestFeature> suspected() {
        return mFeatures.stream()
                .filter(source -> suspects().mayKnow(source.shape()))
                .map(FeatureSource::feature)
                .toList();
    }

    private AnswerHistory history(final RequestFeature feature) {
        return mFeatures.stream()
                .filter(source -> source.shape() == feature.shape())
                .map(source -> mExchanges.state().usual().history(source.hash(), now()))
                .max(Comparator.naturalOrder())
                .orElse(AnswerHistory.NONE);
    }

    /**
     * Decides whether the request may be sent, and records that it is about to run if so. A request
     * that another one like it holds up waits a little, as most of them are innocent, and the
     * outcome of the other one is known soon.
     *
     * @param decided receives the decision, once, unless {@link #attemptEnded} comes before
     */
    void start(final Consumer<SuspectDecision> decided) {
        mBegun = false;
        mAttemptId++;
        decide(MAX_GUARD_WAITS, decided);
    }

    private void decide(final int waits, final Consumer<SuspectDecision> decided) {
        final List<RequestFeature> suspected = suspected();
        final SuspectDecision decision = suspects().decide(suspected, this::history, now());
        if (decision.isAllowed()) {
            mGuarded = suspects().recordStart(suspected, this::history, now());
            decided.accept(decision);
        } else if (waits > 0 && decision.isShort()) {
            final int attemptId = mAttemptId;
            mExchanges
                    .loop()
                    .schedule(
                            () -> {
                                if (attemptId == mAttemptId) {
                                    decide(waits - 1, decided);
                                }
                            },
                            GUARD_WAIT_MILLIS,
                            TimeUnit.MILLISECONDS);
        } else {
            mExchanges.requestLogger().heldBack(mAdmission, levels(), decision.retryAfter());
            decided.accept(decision);
        }
    }

    /** Records that an endpoint was chosen for the request. */
    void placed(final EndpointEntry endpoint) {
        if (!mGuarded.isEmpty()) {
            suspects().recordPlaced(mGuarded, endpoint.id(), now());
            mExchanges.crashes().news().started(mGuarded, endpoint.id());
        }
    }

    /** Records that the request is about to be sent to an endpoint. */
    void attemptSent() {
        for (final RequestFeature feature : suspected()) {
            mKnownLevels.merge(feature, suspects().level(feature, now()), Math::max);
        }
    }

    /**
     * Returns whether the request runs one at a time with others, so that it should do as little
     * harm as possible if it crashes another endpoint.
     */
    boolean isSuspect() {
        return !mGuarded.isEmpty();
    }

    /**
     * Finds out whether an endpoint has crashed that has ended the connection of the request.
     *
     * @param endpoint the endpoint
     * @param sentAt the time at which the request was sent to it
     * @param limit the longest wait for the result
     * @param checked receives whether it has crashed; false also if that is not known in time
     */
    void connectionEnded(
            final EndpointEntry endpoint,
            final Instant sentAt,
            final Duration limit,
            final Consumer<Boolean> checked) {
        // The body may be released before the endpoint is checked.
        mFeatures.forEach(FeatureSource::hash);
        final List<FeatureLevel> run =
                mFeatures.stream()
                        .map(FeatureSource::feature)
                        .map(
                                feature ->
                                        new FeatureLevel(
                                                feature, mKnownLevels.getOrDefault(feature, 0)))
                        .toList();
        // Others wait until it is known what has become of this one.
        final List<RequestFeature> guarded = mGuarded;
        mGuarded = List.of();
        final CheckResult result = new CheckResult(mExchanges.loop(), limit, checked);
        mExchanges
                .crashes()
                .connectionLost(
                        endpoint, new LostAttemptRun(endpoint, run, guarded, sentAt, result));
    }

    private EndpointCrash.LostRun recordCrash(
            final List<FeatureLevel> run,
            final EndpointEntry endpoint,
            final Duration age,
            final boolean begun) {
        final List<FeatureLevel> blamed =
                suspects().recordCrash(run, this::history, endpoint.id(), now());
        // The next attempt may be on its way already; it began after this crash all the same.
        blamed.forEach(
                feature -> mKnownLevels.merge(feature.feature(), feature.level(), Math::max));
        mExchanges
                .requestLogger()
                .wasOnCrashed(mAdmission, endpoint, new LostAttempt(age, begun, levels()));
        return new EndpointCrash.LostRun(blamed);
    }

    /** An attempt whose endpoint is checked, and may be found to have crashed after the check. */
    private final class LostAttemptRun implements CrashDetector.LostRequest {
        private final EndpointEntry mEndpoint;
        private final List<FeatureLevel> mRun;
        private final List<RequestFeature> mRunGuard;
        private final Instant mSentAt;
        private final Duration mAge;
        private final boolean mRunBegun;
        private final CheckResult mResult;
        private boolean mGuardEnded;

        private LostAttemptRun(
                final EndpointEntry endpoint,
                final List<FeatureLevel> run,
                final List<RequestFeature> guard,
                final Instant sentAt,
                final CheckResult result) {
            mEndpoint = endpoint;
            mRun = run;
            mRunGuard = guard;
            mSentAt = sentAt;
            mAge = Duration.between(sentAt, now());
            mRunBegun = mBegun;
            mResult = result;
        }

        @Override
        public EndpointCrash.LostRun crashed() {
            if (mAnswered) {
                // An answer takes off one crash, and this one was before it.
                return new EndpointCrash.LostRun(List.of());
            }
            if (mGuardEnded) {
                // Explains the crash to the innocent requests there, as it does if found at once.
                suspects().recordPlaced(mRunGuard, mEndpoint.id(), mSentAt);
            }
            return recordCrash(mRun, mEndpoint, mAge, mRunBegun);
        }

        @Override
        public void checked(final boolean crashed) {
            if (!crashed) {
                mGuardEnded = !mRunGuard.isEmpty() && suspects().isGuarded(mEndpoint.id(), now());
                suspects().recordEnd(mRunGuard, now());
            }
            mResult.set(crashed);
        }
    }

    /** Returns the names and levels of the suspected features. */
    private Map<String, Integer> levels() {
        final Map<String, Integer> levels = new HashMap<>();
        mFeatures.stream()
                .filter(source -> suspects().mayKnow(source.shape()))
                .forEach(
                        source ->
                                levels.put(
                                        source.name(), suspects().level(source.feature(), now())));
        return levels;
    }

    /** Records that an event of the answer is about to be forwarded. */
    void eventReceived() {
        if (!mBegun) {
            mBegun = true;
            tell(
                    suspects().recordBegun(suspected(), now()).stream()
                            .map(feature -> new FeatureLevel(feature, 0))
                            .toList(),
                    false);
        }
    }

    /** Records that an endpoint has answered the request completely. */
    void answered() {
        mAnswered = true;
        mFeatures.forEach(source -> mExchanges.state().usual().recordAnswer(source.hash(), now()));
        final List<FeatureLevel> answered = suspects().recordAnswer(suspected(), now());
        if (!answered.isEmpty()) {
            mExchanges.requestLogger().cleared(mAdmission, answered.size());
        }
        tell(answered, true);
        mGuarded = List.of();
    }

    private void tell(final List<FeatureLevel> features, final boolean complete) {
        if (!features.isEmpty()) {
            mExchanges.crashes().news().answered(new FeatureAnswer(features, complete));
        }
    }

    /** Records that the attempt has ended. */
    void attemptEnded() {
        mAttemptId++;
        suspects().recordEnd(mGuarded, now());
        mGuarded = List.of();
    }
}
