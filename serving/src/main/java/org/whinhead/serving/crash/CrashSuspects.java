package org.whinhead.serving.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.Arguments;

/**
 * Remembers which requests were in progress on endpoints that crashed, and holds back those under
 * which endpoints crash again and again.
 *
 * <p>Most requests on an endpoint that crashes are innocent, and a common one may be on many that
 * crash for other reasons. So a crash raises the level of a request only if it follows the one
 * before: its run began in the knowledge of that one, or it came clearly later. Endpoints that are
 * lost together count once. A complete answer, at any daemon, ends the suspicion, and a request
 * that was answered a short while before is guarded and not refused for what happens within one
 * event.
 *
 * <p>From {@link #GUARDED_LEVEL} on, one daemon, the same for all, may still send the request. From
 * {@link #BLOCKED_LEVEL} on it is refused; that daemon may try it again after growing pauses, since
 * the endpoints may have been mended.
 */
public final class CrashSuspects {

    /** The level from which a request runs at one daemon only, one attempt at a time. */
    public static final int GUARDED_LEVEL = 2;

    /** The level from which a request is refused. */
    public static final int BLOCKED_LEVEL = 3;

    /**
     * The number of endpoints from which a request is guarded also if they crashed together: many
     * copies of it may be in progress at a time.
     */
    private static final int GUARDED_ENDPOINTS = 3;

    /**
     * The time from the first crash until such a guard begins. Of a common request that was on many
     * endpoints by chance, others are answered meanwhile.
     */
    private static final Duration GUARD_DELAY = Duration.ofSeconds(1);

    /** Crashes within this time are taken for one event if no run began after the first. */
    private static final Duration ONE_EVENT = Duration.ofMillis(500);

    /** The time for which a request is remembered after its last crash or refusal. */
    private static final Duration MEMORY = Duration.ofMinutes(10);

    /** The delay sent to callers of a guarded request that may run elsewhere, or soon. */
    private static final Duration GUARD_RETRY_AFTER = Duration.ofMillis(300);

    /** Bounds the memory: an endpoint that crashes takes up to a hundred requests with it. */
    private static final int MAX_SUSPECTS = 4_096;

    private final Map<RequestIdentity, Suspect> mSuspects = new LinkedHashMap<>();
    private final Map<Integer, Integer> mShapes = new HashMap<>();
    private final AnsweredRequests mAnswered = new AnsweredRequests();
    private int mDaemonCount = 1;
    private int mRank;
    private int mReported;

    private static final class Suspect {
        private int mLevel;
        private Instant mFirstAt;
        private Instant mRaisedAt;
        private Instant mKeptUntil;
        private Instant mGuardAt;
        private int mInProgress;
        private final Set<String> mEndpoints = new HashSet<>();
    }

    /**
     * Sets which daemons there are, since one of them makes the trials of a request.
     *
     * @param count the number of daemons
     * @param rank the place of this one among them, from 0
     */
    public void setDaemons(final int count, final int rank) {
        Arguments.requireAtLeast(count, 1, "count");
        Arguments.requireAtLeast(rank, 0, "rank");
        mDaemonCount = count;
        mRank = rank;
    }

    /**
     * Returns whether any remembered request has a shape; if not, there is no need for its digest.
     *
     * @param shape the shape of a request
     * @return whether the request may be a remembered one
     */
    public boolean mayKnow(final int shape) {
        return mShapes.containsKey(shape);
    }

    /**
     * Returns the number of crashes that count against a request.
     *
     * @param request the request
     * @param now the current time
     * @return the level; 0 if the request is not suspected
     */
    public int level(final RequestIdentity request, final Instant now) {
        return find(request, now).map(suspect -> suspect.mLevel).orElse(0);
    }

    private Optional<Suspect> find(final RequestIdentity request, final Instant now) {
        final Suspect suspect = mSuspects.get(request);
        if (suspect != null && !now.isBefore(suspect.mKeptUntil)) {
            remove(request);
            return Optional.empty();
        }
        if (suspect != null && suspect.mGuardAt != null && !now.isBefore(suspect.mGuardAt)) {
            raise(request, GUARDED_LEVEL, now, MEMORY);
        }
        return Optional.ofNullable(suspect);
    }

    /**
     * Decides whether a request may be sent to an endpoint.
     *
     * @param request the request
     * @param now the current time
     * @return the decision
     */
    public SuspectDecision decide(final RequestIdentity request, final Instant now) {
        final Optional<Suspect> found = find(request, now);
        if (found.isEmpty() || found.get().mLevel < GUARDED_LEVEL) {
            return SuspectDecision.RUN;
        }
        final Suspect suspect = found.get();
        if (suspect.mLevel >= BLOCKED_LEVEL) {
            suspect.mKeptUntil = now.plus(MEMORY);
            final Instant trialAt = suspect.mRaisedAt.plus(TrialSchedule.delay(suspect.mLevel));
            if (now.isBefore(trialAt)) {
                return SuspectDecision.refuse(Duration.between(now, trialAt));
            }
        }
        return suspect.mInProgress > 0 || !makesTrials(request)
                ? SuspectDecision.refuse(GUARD_RETRY_AFTER)
                : SuspectDecision.RUN;
    }

    private boolean makesTrials(final RequestIdentity request) {
        return Math.floorMod(request.low(), mDaemonCount) == mRank;
    }

    /**
     * Records that a request is in progress at this daemon.
     *
     * @param request the request
     * @param now the current time
     */
    public void recordStart(final RequestIdentity request, final Instant now) {
        final Suspect suspect = mSuspects.get(request);
        if (suspect != null) {
            suspect.mInProgress++;
            if (suspect.mLevel >= BLOCKED_LEVEL) {
                // A trial that ends without a result must not be followed by another one at once.
                suspect.mRaisedAt = now;
            }
        }
    }

    /**
     * Records that a request is no longer in progress at this daemon.
     *
     * @param request the request
     */
    public void recordEnd(final RequestIdentity request) {
        final Suspect suspect = mSuspects.get(request);
        if (suspect != null && suspect.mInProgress > 0) {
            suspect.mInProgress--;
        }
    }

    /**
     * Records that an endpoint has crashed while it had a request.
     *
     * @param request the request
     * @param endpoint the endpoint's id
     * @param knownLevel the request's level when it was sent to that endpoint
     * @param usual whether the request was answered a short while before
     * @param now the current time
     * @return the request's level after the crash
     */
    public int recordCrash(
            final RequestIdentity request,
            final String endpoint,
            final int knownLevel,
            final boolean usual,
            final Instant now) {
        mAnswered.remove(request);
        final Optional<Suspect> found = find(request, now);
        if (found.isEmpty()) {
            raise(request, 1, now, MEMORY);
        } else {
            final Suspect suspect = found.get();
            final boolean isLater = now.isAfter(suspect.mRaisedAt.plus(ONE_EVENT));
            final int level = Math.max(suspect.mLevel + (isLater ? 1 : 0), knownLevel + 1);
            // Endpoints that are lost together go one after the other, and a common request that
            // is sent on meets several of them within one event.
            final boolean isOneEvent = now.isBefore(suspect.mFirstAt.plus(ONE_EVENT));
            raise(
                    request,
                    usual && isOneEvent ? Math.min(level, GUARDED_LEVEL) : level,
                    now,
                    MEMORY);
        }
        countEndpoint(request, endpoint, now);
        return mSuspects.get(request).mLevel;
    }

    private void countEndpoint(
            final RequestIdentity request, final String endpoint, final Instant now) {
        final Suspect suspect = mSuspects.get(request);
        if (suspect.mEndpoints.size() < GUARDED_ENDPOINTS) {
            suspect.mEndpoints.add(endpoint);
        }
        if (suspect.mEndpoints.size() >= GUARDED_ENDPOINTS && suspect.mGuardAt == null) {
            suspect.mGuardAt = now.plus(GUARD_DELAY);
        }
    }

    /** Raises the level of a request unless it is as high already. */
    private void raise(
            final RequestIdentity request,
            final int level,
            final Instant now,
            final Duration keptFor) {
        if (mSuspects.containsKey(request) && mSuspects.get(request).mLevel >= level) {
            return;
        }
        final Suspect before = mSuspects.remove(request);
        final Suspect suspect = before == null ? new Suspect() : before;
        if (before == null) {
            suspect.mFirstAt = now;
            mShapes.merge(request.shape(), 1, Integer::sum);
        }
        suspect.mLevel = level;
        suspect.mRaisedAt = now;
        suspect.mKeptUntil = now.plus(keptFor);
        // The entry that was raised last is the last one to be removed for want of room.
        mSuspects.put(request, suspect);
        if (mSuspects.size() > MAX_SUSPECTS) {
            remove(leastSuspected());
        }
    }

    /** Returns the oldest request that is not held back, or else the oldest one. */
    private RequestIdentity leastSuspected() {
        return mSuspects.entrySet().stream()
                .filter(entry -> entry.getValue().mLevel < GUARDED_LEVEL)
                .findFirst()
                .map(Map.Entry::getKey)
                .orElseGet(() -> mSuspects.keySet().iterator().next());
    }

    private void remove(final RequestIdentity request) {
        if (mSuspects.remove(request) != null) {
            mShapes.computeIfPresent(
                    request.shape(), (shape, count) -> count == 1 ? null : count - 1);
        }
    }

    /**
     * Records that an endpoint has answered a request completely.
     *
     * @param request the request
     * @param now the current time
     * @return whether it was suspected until now, and other daemons must hear of the answer
     */
    public boolean recordAnswer(final RequestIdentity request, final Instant now) {
        if (find(request, now).isEmpty()) {
            return false;
        }
        forget(request, now);
        return true;
    }

    private void forget(final RequestIdentity request, final Instant now) {
        remove(request);
        mAnswered.add(request, now);
    }

    /**
     * Applies a crash that another daemon has recorded.
     *
     * @param request the request
     * @param endpoint the endpoint's id
     * @param level the request's level there after the crash
     * @param now the current time
     */
    public void applyPeerCrash(
            final RequestIdentity request,
            final String endpoint,
            final int level,
            final Instant now) {
        mAnswered.remove(request);
        find(request, now);
        raise(request, level, now, MEMORY);
        countEndpoint(request, endpoint, now);
    }

    /**
     * Applies a complete answer that another daemon has recorded.
     *
     * @param request the request
     * @param now the current time
     */
    public void applyPeerAnswer(final RequestIdentity request, final Instant now) {
        forget(request, now);
    }

    /**
     * Applies what another daemon remembers.
     *
     * @param record an entry of its report
     * @param now the current time
     * @return whether that daemon must hear that the request was answered since
     */
    public boolean applyPeerRecord(final SuspectRecord record, final Instant now) {
        if (mAnswered.containsRecent(record.identity(), now)) {
            return true;
        }
        merge(record, now);
        return false;
    }

    private void merge(final SuspectRecord record, final Instant now) {
        final Duration keptFor = min(record.keptFor(), MEMORY);
        if (keptFor.isNegative() || keptFor.isZero()) {
            return;
        }
        find(record.identity(), now);
        raise(record.identity(), record.level(), now, keptFor);
        final Suspect known = mSuspects.get(record.identity());
        if (known.mLevel == record.level()) {
            known.mKeptUntil = max(known.mKeptUntil, now.plus(keptFor));
        }
    }

    private static Duration min(final Duration first, final Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }

    private static Instant max(final Instant first, final Instant second) {
        return first.isAfter(second) ? first : second;
    }

    /**
     * Returns the next of the remembered requests that daemons must know of which have started or
     * were cut off, in turn.
     *
     * @param most the most requests to return
     * @param now the current time
     * @return requests of {@link #GUARDED_LEVEL} or above
     */
    public List<SuspectRecord> nextRecords(final int most, final Instant now) {
        final List<SuspectRecord> all = new ArrayList<>();
        mSuspects.forEach(
                (request, suspect) -> {
                    final Duration left = Duration.between(now, suspect.mKeptUntil);
                    if (suspect.mLevel >= GUARDED_LEVEL && !left.isNegative()) {
                        all.add(new SuspectRecord(request, suspect.mLevel, left));
                    }
                });
        if (all.size() <= most) {
            return all;
        }
        final List<SuspectRecord> next = new ArrayList<>();
        // Daemons know the same requests in the same order: each begins with others of them.
        final int first = mRank * most;
        for (int index = 0; index < most; index++) {
            next.add(all.get(Math.floorMod(first + mReported++, all.size())));
        }
        return next;
    }

    /**
     * Returns the number of requests that are refused.
     *
     * @return the requests of {@link #BLOCKED_LEVEL} or above
     */
    public int blockedCount() {
        return (int)
                mSuspects.values().stream()
                        .filter(suspect -> suspect.mLevel >= BLOCKED_LEVEL)
                        .count();
    }

    /**
     * Returns the number of requests that are remembered.
     *
     * @return the requests of any level
     */
    public int size() {
        return mSuspects.size();
    }
}
