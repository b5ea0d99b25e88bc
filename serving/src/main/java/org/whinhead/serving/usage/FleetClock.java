package org.whinhead.serving.usage;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The time of day that the daemons agree on.
 *
 * <p>Usage is counted by windows of the true time, and the time of day of single machines jumps by
 * seconds: their requests were counted in a window that was not yet open or already reported. A
 * jump shows against the steady clock, but a machine that was suspended looks the same, as its
 * steady clock stood still. So this clock runs on steadily at a jump, and takes the median of the
 * other daemons' clocks once it differs. Machines that all jump at once keep each other right, as
 * what they tell each other is this clock and not the machine's.
 */
public final class FleetClock implements InstantSource {

    /** Differences that are drift, and not a jump; machines differ by some tens of milliseconds. */
    private static final Duration MAX_DRIFT = Duration.ofMillis(400);

    /**
     * How long a daemon's clock counts after it was heard: two intervals of 90 daemons' reports.
     */
    private static final Duration PEER_TIME_VALIDITY = Duration.ofSeconds(4);

    /** Fewer others only confirm: of two clocks that differ neither is known to be right. */
    private static final int MIN_PEERS = 2;

    private final InstantSource mSteady;
    private final InstantSource mTimeOfDay;
    private final Map<String, PeerTime> mPeerTimes = new HashMap<>();
    private Duration mOffset;

    /**
     * Makes a clock that shows this machine's time of day.
     *
     * @param steady a clock that never jumps
     * @param timeOfDay the machine's time of day
     */
    public FleetClock(final InstantSource steady, final InstantSource timeOfDay) {
        mSteady = Objects.requireNonNull(steady, "steady");
        mTimeOfDay = Objects.requireNonNull(timeOfDay, "timeOfDay");
        mOffset = machineOffset();
    }

    private Duration machineOffset() {
        return Duration.between(mSteady.instant(), mTimeOfDay.instant());
    }

    @Override
    public Instant instant() {
        final Duration own = machineOffset();
        if (isDrift(own) || mPeerTimes.isEmpty()) {
            mOffset = own;
        }
        return mSteady.instant().plus(mOffset);
    }

    private boolean isDrift(final Duration offset) {
        return isClose(offset, mOffset);
    }

    private static boolean isClose(final Duration one, final Duration other) {
        return one.minus(other).abs().compareTo(MAX_DRIFT) <= 0;
    }

    /**
     * Takes what another daemon's clock shows.
     *
     * @param daemon the daemon
     * @param shown the time when it was sent
     */
    public void recordPeerTime(final String daemon, final Instant shown) {
        final Instant now = mSteady.instant();
        mPeerTimes.put(daemon, new PeerTime(Duration.between(now, shown), now));
    }

    /** Goes by the others if this clock differs from most of them; to be called often. */
    public void syncWithPeers() {
        final Instant oldest = mSteady.instant().minus(PEER_TIME_VALIDITY);
        mPeerTimes.values().removeIf(heard -> heard.receivedAt().isBefore(oldest));
        if (mPeerTimes.size() < MIN_PEERS) {
            followConfirmedJump();
            return;
        }
        final List<Duration> offsets =
                mPeerTimes.values().stream().map(PeerTime::offset).sorted().toList();
        final Duration median = offsets.get(offsets.size() / 2);
        if (!isDrift(median)) {
            mOffset = median;
        }
    }

    /** Follows the machine's time of day after a jump if the only other daemon shows the same. */
    private void followConfirmedJump() {
        final Duration own = machineOffset();
        if (mPeerTimes.values().stream().allMatch(heard -> isClose(heard.offset(), own))) {
            mOffset = own;
        }
    }

    private record PeerTime(Duration offset, Instant receivedAt) {}
}
