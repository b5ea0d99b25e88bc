package org.whinhead.serving.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;

class RolloutsTest {

    private static final String SERVICE = "service";
    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final RolloutOrder ORDER =
            new RolloutOrder(SERVICE, "v2", Duration.ofSeconds(12), 7);

    private final Rollouts mRollouts = new Rollouts(true);
    private final List<EndpointEntry> mBoth =
            List.of(entry("a", "v1"), entry("b", "v1"), entry("c", "v2"), entry("d", "v2"));

    private static EndpointEntry entry(final String id, final String version) {
        return EndpointEntry.builder(
                        id, SERVICE, InetSocketAddress.createUnresolved("endpoint", 1), "domain")
                .version(version)
                .build();
    }

    private static RolloutStep step(
            final long token, final long sequence, final RolloutState state, final double share) {
        return new RolloutStep(
                SERVICE, ORDER.offset(), token, sequence, state, share, Duration.ZERO);
    }

    private List<String> versions(final String requestId, final Instant now) {
        return mRollouts.candidates(SERVICE, mBoth, requestId, false, now).stream()
                .map(EndpointEntry::version)
                .distinct()
                .toList();
    }

    /**
     * A caller gets a failure of a bad version before anybody watches it. Its endpoints are listed;
     * this daemon has read the order, but the holder's first step has not come yet.
     */
    @Test
    void orderAloneGivesTheNewVersionNothing() {
        mRollouts.addOrder(ORDER);

        assertThat(versions("request", START)).containsExactly("v1");
    }

    /**
     * Callers get a bad version's failures from one daemon for a whole roll-out. That daemon reads
     * the endpoints' entries before the order, and takes them for an ordinary replacement.
     */
    @Test
    void endpointsOfUnseenVersionWaitForTheirOrder() {
        mRollouts.observeEndpoints(mBoth.subList(0, 2), START);
        mRollouts.observeEndpoints(mBoth, START);

        assertThat(versions("request", START.plusMillis(1_900))).containsExactly("v1");
        assertThat(versions("request", START.plusMillis(2_001))).contains("v1", "v2");
    }

    @Test
    void withoutRolloutsNothingWaits() {
        final Rollouts none = new Rollouts(false);
        none.observeEndpoints(mBoth.subList(0, 2), START);
        none.observeEndpoints(mBoth, START);

        assertThat(none.candidates(SERVICE, mBoth, "request", false, START)).isEqualTo(mBoth);
    }

    /**
     * Callers of one daemon go on getting a bad version's failures. The holder is killed, or this
     * daemon is cut off, just as the version is found to be bad.
     */
    @Test
    void stepLapsesWithoutNews() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyStep(step(1, 1, RolloutState.RUNNING, 1), START);

        assertThat(versions("request", START.plusMillis(1_500))).containsExactly("v2");
        assertThat(versions("request", START.plusMillis(1_501))).containsExactly("v1");
    }

    /** A step of the holder before, delayed on its way, must not bring a bad version back. */
    @Test
    void stepOfEarlierHolderChangesNothing() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyStep(step(2, 1, RolloutState.ROLLED_BACK, 0), START);
        mRollouts.applyStep(step(1, 9, RolloutState.RUNNING, 1), START);

        assertThat(versions("request", START)).containsExactly("v1");
        assertThat(mRollouts.openOrders()).isEmpty();
    }

    /**
     * Every request is refused though the new version serves. This daemon was cut off while the
     * roll-out was completed, and all old endpoints are gone; the store's record tells it.
     */
    @Test
    void recordOfTheStoreOpensTheNewVersion() {
        mRollouts.addOrder(ORDER);
        final List<EndpointEntry> onlyNew = mBoth.subList(2, 4);
        assertThat(mRollouts.candidates(SERVICE, onlyNew, "request", false, START)).isEmpty();

        mRollouts.applyRecord(new RolloutRecord(SERVICE, "v2", 7, START, RolloutState.COMPLETED));

        assertThat(mRollouts.candidates(SERVICE, onlyNew, "request", false, START))
                .isEqualTo(onlyNew);
    }

    /** A record of an earlier order of the same version says nothing of the one under way. */
    @Test
    void recordOfEarlierOrderChangesNothing() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyRecord(new RolloutRecord(SERVICE, "v2", 6, START, RolloutState.COMPLETED));

        assertThat(mRollouts.isOpen(SERVICE)).isTrue();
    }

    @Test
    void repeatedRequestGoesToTheOldVersion() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyStep(step(1, 1, RolloutState.RUNNING, 0.9), START);

        assertThat(mRollouts.candidates(SERVICE, mBoth, "request", true, START))
                .isEqualTo(mBoth.subList(0, 2));
    }

    /** A version that was rolled back stays out of the capacity that is kept for the service. */
    @Test
    void capacityIsThatOfTheVersionThatServes() {
        mRollouts.addOrder(ORDER);
        assertThat(mRollouts.capacityEndpoints(SERVICE, mBoth)).isEqualTo(mBoth);

        mRollouts.applyStep(step(1, 1, RolloutState.ROLLED_BACK, 0), START);

        assertThat(mRollouts.capacityEndpoints(SERVICE, mBoth)).isEqualTo(mBoth.subList(0, 2));
    }

    /**
     * Many daemons that hear steps of several holders in any order, some never, send a bad version
     * more than the largest share that was told: the bound must hold without any message.
     */
    @Property(tries = 60)
    void sharesHoldWhateverIsHeard(
            @ForAll final long seed,
            @ForAll @IntRange(min = 1, max = 30) final int daemons,
            @ForAll @DoubleRange(max = 0.4) final double largest) {
        final Random random = new Random(seed);
        int exposed = 0;
        final int requests = 4_000;
        final List<Rollouts> all = new ArrayList<>();
        for (int daemon = 0; daemon < daemons; daemon++) {
            final Rollouts rollouts = new Rollouts(true);
            all.add(rollouts);
            rollouts.addOrder(ORDER);
            for (int heard = random.nextInt(5); heard > 0; heard--) {
                rollouts.applyStep(
                        step(
                                random.nextInt(3),
                                random.nextInt(9),
                                RolloutState.RUNNING,
                                largest * random.nextDouble()),
                        START.plusMillis(random.nextInt(3_000)));
            }
        }
        for (int request = 0; request < requests; request++) {
            final List<EndpointEntry> candidates =
                    all.get(random.nextInt(daemons))
                            .candidates(
                                    SERVICE,
                                    mBoth,
                                    Long.toHexString(random.nextLong()),
                                    false,
                                    START.plusMillis(random.nextInt(4_000)));
            exposed += candidates.get(0).version().equals("v2") ? 1 : 0;
        }
        final double chance = 5 * Math.sqrt(requests * largest) + 1;
        assertThat((double) exposed).isLessThanOrEqualTo(requests * largest + chance);
    }
}
