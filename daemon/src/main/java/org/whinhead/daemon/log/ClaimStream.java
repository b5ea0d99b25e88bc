package org.whinhead.daemon.log;

import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.request.RequestId;
import org.whinhead.requests.ClaimOutcome;
import org.whinhead.state.claim.ClaimCoordinator;
import org.whinhead.state.claim.ClaimKey;
import org.whinhead.state.claim.ClaimResult;
import org.whinhead.state.claim.ClaimTable;
import org.whinhead.state.fold.RecordDeduplicator;
import org.whinhead.state.record.LogEntry;

/** Claims the keys of requests through the claim stream; on the log thread. */
final class ClaimStream implements StreamHandler {

    private final LogStreamClient mClient;
    private final DaemonId mSelf;
    private final LogServiceSettings mSettings;
    private final LogListener mListener;
    private final ClaimTable mTable;
    private final ClaimCoordinator mCoordinator;
    private final Map<Long, RequestId> mPending = new HashMap<>();
    private final Map<RequestId, Granted> mGranted = new LinkedHashMap<>();
    private long mAttempts;

    ClaimStream(
            final LogStreamClient client,
            final DaemonId self,
            final LogServiceSettings settings,
            final LogListener listener) {
        mClient = client;
        mSelf = self;
        mSettings = settings;
        mListener = listener;
        mTable =
                new ClaimTable(settings.claimWindow(), RecordDeduplicator.DEFAULT_MAX_INCARNATIONS);
        mCoordinator =
                new ClaimCoordinator(mTable, client.writer(), settings.claims(), this::onDecided);
        client.setHandler(this);
    }

    void claim(final RequestId request, final ClaimKey key, final Instant now) {
        mAttempts++;
        final long attempt = ClaimKey.attemptHash(mSelf, mAttempts);
        mPending.put(attempt, request);
        mCoordinator.claim(key, attempt, now.plus(mSettings.claimTimeout()), now);
    }

    /** Withdraws the claim of a request that was granted and certainly did not run. */
    void withdraw(final RequestId request, final Instant now) {
        final Granted granted = mGranted.remove(request);
        if (granted != null) {
            mCoordinator.withdraw(granted.key(), granted.attempt(), now);
        }
    }

    void run(final Instant now) {
        final Iterator<Granted> granted = mGranted.values().iterator();
        // Oldest first; a grant past its dispatch deadline needs no withdrawal.
        while (granted.hasNext() && granted.next().dispatchBy().isBefore(now)) {
            granted.remove();
        }
        mCoordinator.tick(now);
        mClient.sendDue(true, now);
    }

    private void onDecided(
            final ClaimKey key,
            final long attempt,
            final ClaimResult result,
            final Instant dispatchBy) {
        final RequestId request = mPending.remove(attempt);
        if (result == ClaimResult.GRANTED) {
            mGranted.remove(request);
            mGranted.put(request, new Granted(key, attempt, dispatchBy));
        }
        mListener.claimDecided(request, toOutcome(result), dispatchBy);
    }

    private static ClaimOutcome toOutcome(final ClaimResult result) {
        return switch (result) {
            case GRANTED -> ClaimOutcome.GRANTED;
            case HELD_ELSEWHERE -> ClaimOutcome.HELD_ELSEWHERE;
            case UNAVAILABLE -> ClaimOutcome.UNAVAILABLE;
        };
    }

    @Override
    public void onRecords(final List<LogEntry> entries, final boolean atHead, final Instant now) {
        entries.forEach(entry -> mCoordinator.apply(entry, now));
    }

    @Override
    public void onExpired(final long oldest, final Instant now) {
        mTable.reset();
        mClient.reader().seek(oldest);
    }

    private record Granted(ClaimKey key, long attempt, Instant dispatchBy) {}
}
