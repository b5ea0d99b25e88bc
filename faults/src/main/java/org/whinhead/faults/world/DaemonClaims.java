package org.whinhead.faults.world;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.requests.ClaimOutcome;
import org.whinhead.state.claim.ClaimCoordinator;
import org.whinhead.state.claim.ClaimKey;
import org.whinhead.state.claim.ClaimLimits;
import org.whinhead.state.claim.ClaimResult;
import org.whinhead.state.claim.ClaimTable;
import org.whinhead.state.record.LogEntry;

/** One daemon's claims: a real claim coordinator and claim table over the stream of claims. */
final class DaemonClaims {

    private static final Duration CLAIM_WINDOW = Duration.ofSeconds(40);
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);
    private static final ClaimLimits LIMITS =
            new ClaimLimits(Duration.ofSeconds(20), Duration.ofMillis(5), 64, 256, 100_000);
    private static final int MAX_INCARNATIONS = 10_000;

    private final FakeDaemon mDaemon;
    private final FakeProcess mProcess;
    private final ClaimTable mTable = new ClaimTable(CLAIM_WINDOW, MAX_INCARNATIONS);
    private final PausableLogClient mLog;
    private final ClaimCoordinator mCoordinator;
    private final Map<RequestId, Claim> mCurrentClaims = new HashMap<>();
    private final Map<Long, RequestId> mRequestsByAttempt = new HashMap<>();
    private long mAttempts;

    DaemonClaims(final FakeLog log, final FakeDaemon daemon, final FakeProcess process) {
        mDaemon = daemon;
        mProcess = process;
        mLog =
                new PausableLogClient(
                        log, FakeLog.CLAIMS, daemon.id(), process, this::onRecord, this::onExpired);
        mCoordinator = new ClaimCoordinator(mTable, mLog.writer(), LIMITS, this::onClaimDecided);
    }

    void claim(final RequestSpec spec, final Instant now) {
        final DaemonId self = mDaemon.id();
        mAttempts++;
        final long attempt = ClaimKey.attemptHash(self, mAttempts);
        final ClaimKey key = ClaimKey.of(spec.customer(), spec.id().value());
        final Instant latest = now.plus(MAX_WAIT);
        final Instant deadline = latest.isBefore(spec.deadline()) ? latest : spec.deadline();
        mCurrentClaims.put(spec.id(), new Claim(key, attempt));
        mRequestsByAttempt.put(attempt, spec.id());
        mCoordinator.claim(key, attempt, deadline, now);
    }

    void unclaim(final RequestId request, final Instant now) {
        Optional.ofNullable(mCurrentClaims.remove(request))
                .ifPresent(claim -> mCoordinator.withdraw(claim.key(), claim.attempt(), now));
    }

    void tick(final Instant now) {
        mCoordinator.tick(now);
        mLog.sendDue(now);
    }

    private void onRecord(final LogEntry entry, final Instant now) {
        mCoordinator.apply(entry, now);
    }

    private void onExpired(final long oldest) {
        mTable.reset();
        mLog.reader().seek(oldest);
    }

    private void onClaimDecided(
            final ClaimKey key,
            final long attempt,
            final ClaimResult result,
            final Instant dispatchBy) {
        mProcess.post(now -> deliverOutcome(key, attempt, result, dispatchBy, now));
    }

    /**
     * Delivers the outcome of a claim to the request coordinator.
     *
     * <p>An outcome counts only for the request's newest claim, so that a later claim does not
     * receive the outcome of an earlier one. A grant that is outdated or past its validity is
     * withdrawn, as the request never ran under it.
     */
    private void deliverOutcome(
            final ClaimKey key,
            final long attempt,
            final ClaimResult result,
            final Instant dispatchBy,
            final Instant now) {
        final RequestId request = mRequestsByAttempt.remove(attempt);
        final Claim current = mCurrentClaims.get(request);
        final boolean isCurrent = current != null && current.attempt() == attempt;
        final boolean isGranted = result == ClaimResult.GRANTED;
        if (isGranted && (!isCurrent || !now.isBefore(dispatchBy))) {
            mCoordinator.withdraw(key, attempt, now);
        }
        if (!isCurrent) {
            return;
        }
        final boolean isLate = isGranted && !now.isBefore(dispatchBy);
        mDaemon.onClaimDecided(request, isLate ? ClaimOutcome.UNAVAILABLE : outcome(result));
    }

    private static ClaimOutcome outcome(final ClaimResult result) {
        return switch (result) {
            case GRANTED -> ClaimOutcome.GRANTED;
            case HELD_ELSEWHERE -> ClaimOutcome.HELD_ELSEWHERE;
            case UNAVAILABLE -> ClaimOutcome.UNAVAILABLE;
        };
    }

    private record Claim(ClaimKey key, long attempt) {}
}
