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

/** One daemon's claims: a real desk and table over the log's stream of claims. */
final class DaemonClaims {

    private static final Duration WINDOW = Duration.ofSeconds(40);
    private static final Duration PATIENCE = Duration.ofSeconds(3);
    private static final ClaimLimits TERMS =
            new ClaimLimits(Duration.ofSeconds(20), Duration.ofMillis(5), 64, 256, 100_000);
    private static final int INCARNATIONS = 10_000;

    private final FakeDaemon mDaemon;
    private final FakeProcess mProcess;
    private final ClaimTable mTable = new ClaimTable(WINDOW, INCARNATIONS);
    private final LogClient mLog;
    private final ClaimCoordinator mDesk;
    private final Map<RequestId, Claim> mCurrent = new HashMap<>();
    private final Map<Long, RequestId> mAsked = new HashMap<>();
    private long mAttempts;

    DaemonClaims(final FakeLog log, final FakeDaemon daemon, final FakeProcess process) {
        mDaemon = daemon;
        mProcess = process;
        mLog = new LogClient(log, FakeLog.CLAIMS, daemon.id(), process, this::read, this::expired);
        mDesk = new ClaimCoordinator(mTable, mLog.writer(), TERMS, this::decided);
    }

    void claim(final RequestSpec spec, final Instant now) {
        final DaemonId self = mDaemon.id();
        mAttempts++;
        final long attempt = ClaimKey.attemptHash(self, mAttempts);
        final ClaimKey key = ClaimKey.of(spec.customer(), spec.id().value());
        final Instant patience = now.plus(PATIENCE);
        final Instant deadline = patience.isBefore(spec.deadline()) ? patience : spec.deadline();
        mCurrent.put(spec.id(), new Claim(key, attempt));
        mAsked.put(attempt, spec.id());
        mDesk.claim(key, attempt, deadline, now);
    }

    void unclaim(final RequestId request, final Instant now) {
        Optional.ofNullable(mCurrent.remove(request))
                .ifPresent(claim -> mDesk.withdraw(claim.key(), claim.attempt(), now));
    }

    void tick(final Instant now) {
        mDesk.tick(now);
        mLog.pump(now);
    }

    private void read(final LogEntry entry, final Instant now) {
        mDesk.apply(entry, now);
    }

    private void expired(final long oldest) {
        mTable.reset();
        mLog.reader().seek(oldest);
    }

    private void decided(
            final ClaimKey key,
            final long attempt,
            final ClaimResult result,
            final Instant dispatchBy) {
        mProcess.post(now -> handOver(key, attempt, result, dispatchBy, now));
    }

    /**
     * Hands an outcome to the coordinator.
     *
     * <p>Guards against an outcome of an earlier claim that a later one of the same request would
     * take for its own, and against a grant that waited past its validity: a claim counts only
     * while it is the request's newest, and what can't be used is withdrawn, as it never ran.
     */
    private void handOver(
            final ClaimKey key,
            final long attempt,
            final ClaimResult result,
            final Instant dispatchBy,
            final Instant now) {
        final RequestId request = mAsked.remove(attempt);
        final Claim current = mCurrent.get(request);
        final boolean isCurrent = current != null && current.attempt() == attempt;
        final boolean granted = result == ClaimResult.GRANTED;
        if (granted && (!isCurrent || !now.isBefore(dispatchBy))) {
            mDesk.withdraw(key, attempt, now);
        }
        if (!isCurrent) {
            return;
        }
        final boolean late = granted && !now.isBefore(dispatchBy);
        mDaemon.claimDecided(request, late ? ClaimOutcome.UNAVAILABLE : outcome(result));
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
