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
import org.whinhead.serving.store.StorePosition;
import org.whinhead.serving.stream.StreamOrigin;

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
     * Guards against failures of a bad version before it is monitored. Its endpoints are listed and
     * this daemon has read the order, but not received the holder's first step.
     */
    @Test
    void newVersionReceivesNothingBeforeTheFirstStep() {
        mRollouts.addOrder(ORDER);

        assertThat(versions("request", START)).containsExactly("v1");
    }

    /**
     * Guards against a daemon that sends a bad version requests during a whole roll-out. It reads
     * the endpoints' entries before the order and treats them as an ordinary replacement.
     */
    @Test
    void endpointsOfUnseenVersionAreDelayed() {
        mRollouts.observeEndpoints(mBoth.subList(0, 2), START);
        mRollouts.observeEndpoints(mBoth, START);

        assertThat(versions("request", START.plusMillis(1_900))).containsExactly("v1");
        assertThat(versions("request", START.plusMillis(2_001))).contains("v1", "v2");
    }

    @Test
    void withoutRolloutsNoVersionIsDelayed() {
        final Rollouts disabled = new Rollouts(false);
        disabled.observeEndpoints(mBoth.subList(0, 2), START);
        disabled.observeEndpoints(mBoth, START);

        assertThat(disabled.candidates(SERVICE, mBoth, "request", false, START)).isEqualTo(mBoth);
    }

    /**
     * Guards against a daemon that continues to send requests to a bad version: the holder is
     * killed, or the daemon is cut off, just as the version is found to be bad.
     */
    @Test
    void stepExpiresWithoutAnotherOne() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyStep(step(1, 1, RolloutState.RUNNING, 1), START);

        assertThat(versions("request", START.plusMillis(1_500))).containsExactly("v2");
        assertThat(versions("request", START.plusMillis(1_501))).containsExactly("v1");
    }

    /** A delayed step of an earlier holder must not reactivate a bad version. */
    @Test
    void stepOfEarlierHolderIsIgnored() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyStep(step(2, 1, RolloutState.ROLLED_BACK, 0), START);
        mRollouts.applyStep(step(1, 9, RolloutState.RUNNING, 1), START);

        assertThat(versions("request", START)).containsExactly("v1");
        assertThat(mRollouts.openOrders()).isEmpty();
    }

    /**
     * Guards against refusing every request though the new version serves. This daemon was cut off
     * while the roll-out was completed and the old endpoints stopped, and reads the stored record.
     */
    @Test
    void storedRecordActivatesTheNewVersion() {
        mRollouts.addOrder(ORDER);
        final List<EndpointEntry> onlyNew = mBoth.subList(2, 4);
        assertThat(mRollouts.candidates(SERVICE, onlyNew, "request", false, START)).isEmpty();

        mRollouts.applyRecord(new RolloutRecord(SERVICE, "v2", 7, START, RolloutState.COMPLETED));

        assertThat(mRollouts.candidates(SERVICE, onlyNew, "request", false, START))
                .isEqualTo(onlyNew);
    }

    /** A record of an earlier order of the same version doesn't apply to the current one. */
    @Test
    void recordOfEarlierOrderIsIgnored() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyRecord(new RolloutRecord(SERVICE, "v2", 6, START, RolloutState.COMPLETED));

        assertThat(mRollouts.isOpen(SERVICE)).isTrue();
    }

    /**
     * Guards against a decided roll-out that is tried again: the store returned from a copy without
     * the operator's order, which was then written again at another offset.
     */
    @Test
    void orderWrittenAgainIsNotCarriedOutAgain() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyStep(step(1, 1, RolloutState.ROLLED_BACK, 0), START);

        final long offset = StorePosition.of(1, 3);
        final RolloutOrder again =
                new RolloutOrder(SERVICE, ORDER.version(), ORDER.timeBudget(), offset);
        assertThat(mRollouts.addOrder(again)).isFalse();
        assertThat(mRollouts.openOrders()).isEmpty();
        assertThat(mRollouts.newestOrderOffset()).isEqualTo(offset);
    }

    /** Guards against an order that is ignored, as a copy of the store gave it a lower offset. */
    @Test
    void anotherOrderOfLaterEraIsCarriedOut() {
        mRollouts.addOrder(ORDER);
        final RolloutOrder other =
                new RolloutOrder(SERVICE, "v3", ORDER.timeBudget(), StorePosition.of(1, 3));
        assertThat(mRollouts.addOrder(other)).isTrue();
    }

    @Test
    void repeatedRequestGoesToTheOldVersion() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyStep(step(1, 1, RolloutState.RUNNING, 0.9), START);

        assertThat(mRollouts.candidates(SERVICE, mBoth, "request", true, START))
                .isEqualTo(mBoth.subList(0, 2));
    }

    /** Endpoints of a version that was rolled back don't count as the service's capacity. */
    @Test
    void capacityIsThatOfTheServingVersion() {
        mRollouts.addOrder(ORDER);
        assertThat(mRollouts.capacityEndpoints(SERVICE, mBoth)).isEqualTo(mBoth);

        mRollouts.applyStep(step(1, 1, RolloutState.ROLLED_BACK, 0), START);

        assertThat(mRollouts.capacityEndpoints(SERVICE, mBoth)).isEqualTo(mBoth.subList(0, 2));
    }

    /**
     * Guards against daemons that together send a bad version more than the largest share in any
     * step. They receive steps of several holders in any order or not at all.
     */
    @Property(tries = 60)
    void shareLimitHoldsForAnyReceivedSteps(
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
            for (int steps = random.nextInt(5); steps > 0; steps--) {
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
        final double tolerance = 5 * Math.sqrt(requests * largest) + 1;
        assertThat((double) exposed).isLessThanOrEqualTo(requests * largest + tolerance);
    }

    private List<String> continuations(final String version, final Instant now) {
        final StreamOrigin origin = new StreamOrigin(SERVICE, version);
        return mRollouts.continuationCandidates(origin, mBoth, now).stream()
                .map(EndpointEntry::id)
                .toList();
    }

    // Guards against streams that go on at another version than the one that began them, whatever
    // the share of the new version is, and against streams of the new version that are given up
    // while it serves.
    @Test
    void streamContinuesAtItsVersionWhileThatServes() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyStep(step(1, 1, RolloutState.RUNNING, 0.1), START);
        assertThat(continuations("v1", START)).containsExactly("a", "b");
        assertThat(continuations("v2", START)).containsExactly("c", "d");
        assertThat(continuations("v3", START)).isEmpty();

        mRollouts.applyStep(step(1, 2, RolloutState.ROLLED_BACK, 0), START);
        assertThat(continuations("v1", START)).containsExactly("a", "b");
        assertThat(continuations("v2", START)).isEmpty();
    }

    @Test
    void streamOfReplacedVersionDoesNotContinue() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyStep(step(1, 1, RolloutState.COMPLETED, 1), START);
        assertThat(continuations("v1", START)).isEmpty();
        assertThat(continuations("v2", START)).containsExactly("c", "d");
    }

    // Guards against streams that are given up after an order is completed: the endpoints of the
    // ordered version were replaced by those of another one without an order.
    @Test
    void streamContinuesAtVersionThatFollowsTheOrderedOne() {
        mRollouts.addOrder(ORDER);
        mRollouts.applyStep(step(1, 1, RolloutState.COMPLETED, 1), START);
        final List<EndpointEntry> later = List.of(entry("e", "v3"), entry("f", "v3"));
        assertThat(mRollouts.continuationCandidates(new StreamOrigin(SERVICE, "v3"), later, START))
                .isEqualTo(later);
    }
}
