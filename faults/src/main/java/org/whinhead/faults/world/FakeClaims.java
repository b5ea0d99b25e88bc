package org.whinhead.faults.world;

import java.util.HashMap;
import java.util.Map;
import org.whinhead.api.request.RequestId;
import org.whinhead.requests.ClaimOutcome;

/** The log's claims: the first one in its order wins. */
final class FakeClaims {

    private static final int MAX_DELAY_MILLIS = 60;

    private final FakeWorld mWorld;
    private final Map<RequestId, FakeDaemon> mHolders = new HashMap<>();
    private boolean mOut;

    FakeClaims(final FakeWorld world) {
        mWorld = world;
    }

    void setOut(final boolean out) {
        mOut = out;
    }

    void claim(final FakeDaemon daemon, final RequestId request) {
        final int delay = 1 + mWorld.random().nextInt(MAX_DELAY_MILLIS);
        final ClaimOutcome outcome = decide(daemon, request);
        mWorld.time().after(delay, () -> daemon.claimDecided(request, outcome));
    }

    void unclaim(final FakeDaemon daemon, final RequestId request) {
        if (!mOut) {
            mHolders.remove(request, daemon);
        }
    }

    private ClaimOutcome decide(final FakeDaemon daemon, final RequestId request) {
        if (mOut) {
            return ClaimOutcome.UNAVAILABLE;
        }
        return mHolders.putIfAbsent(request, daemon) == null
                ? ClaimOutcome.GRANTED
                : ClaimOutcome.HELD_ELSEWHERE;
    }
}
