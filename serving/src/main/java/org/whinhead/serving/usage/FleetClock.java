package org.whinhead.serving.usage;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Time of day on which all daemons agree.
 *
 * <p>Usage is counted by windows of the true time, and the time of day of single machines jumps by
 * seconds: their requests were counted in windows that were not yet open or already reported. A
 * jump is detected by comparison with the steady clock, but a suspension looks the same, as it
 * stops the steady clock. So this clock ignores jumps, and adopts the median of the other daemons'
 * clocks once it differs from it. The daemons exchange the times of these clocks and not of their
 * machines, so the clocks stay correct even if all machines jump at once.
 */
public final class FleetClock implements InstantSource {

    /** The largest difference treated as drift; machines differ by some tens of milliseconds. */
    private static final Duration MAX_DRIFT = Duration.ofMillis(400);

    /** How long a reported time is used: two report intervals of a fleet of 90 daemons. */
    private static final Duration PEER_TIME_VALIDITY = Duration.ofSeconds(4);

    /** The fewest peers for a median; of two clocks that differ neither is known to be correct. */
    private static final int MIN_PEERS = 2;

    private final InstantSource mSteady;
    private final InstantSource mTimeOfDay;
    private final Map<String, PeerTime> mPeerTimes = new HashMap<>();
    private Duration mOffset;

    /**
     * Creates a clock that starts with this machine's time of day.
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
        final Duration machine = machineOffset();
        if (isDrift(machine) || mPeerTimes.isEmpty()) {
            mOffset = machine;
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
     * Records the time of another daemon's clock.
     *
     * @param daemon the daemon's name
     * @param time the time of its clock when the report was sent
     */
    public void recordPeerTime(final String daemon, final Instant time) {
        final Instant now = mSteady.instant();
        mPeerTimes.put(daemon, new PeerTime(Duration.between(now, time), now));
    }

    /** Adopts the median of the peers if this clock differs from it; to be called often. */
    public void syncWithPeers() {
        final Instant oldest = mSteady.instant().minus(PEER_TIME_VALIDITY);
        mPeerTimes.values().removeIf(peer -> peer.receivedAt().isBefore(oldest));
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

    /** Follows the machine's time of day after a jump if the only peer confirms it. */
    private void followConfirmedJump() {
        final Duration machine = machineOffset();
        if (mPeerTimes.values().stream().allMatch(peer -> isClose(peer.offset(), machine))) {
            mOffset = machine;
        }
    }

    private record PeerTime(Duration offset, Instant receivedAt) {}
}
