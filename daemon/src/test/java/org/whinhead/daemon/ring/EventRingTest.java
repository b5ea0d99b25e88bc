package org.whinhead.daemon.ring;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks the ring's bound, its reserved slots and that a fault does not stop it. */
final class EventRingTest {

    private static final int SLOTS = 8;
    private static final int FAULTY = -1;
    private static final int LAST = 100;
    private static final int SHORT_LIVED_RINGS = 200;

    private final BlockingQueue<Integer> mHandled = new LinkedBlockingQueue<>();
    private final EventRing<Integer> mRing = new EventRing<>("ring", SLOTS, this::handle);

    @AfterEach
    void close() {
        mRing.close();
    }

    // A refused event must not be handled later, as its caller already received a refusal. The
    // thread starts once the ring is full; close handles the accepted events.
    @Test
    void fullRingRefusesEventsAndHandlesOnlyAcceptedOnes() throws InterruptedException {
        for (int event = 0; event < SLOTS; event++) {
            assertThat(mRing.offer(event)).isTrue();
        }

        assertThat(mRing.offer(SLOTS)).isFalse();
        assertThat(mRing.waitingEvents()).isEqualTo(SLOTS);

        mRing.start();
        assertThat(take(SLOTS)).containsExactly(0, 1, 2, 3, 4, 5, 6, 7);
        mRing.close();
        assertThat(mHandled).isEmpty();
    }

    // A fault in one request's event must not end the thread: all other requests would hang.
    @Test
    void faultInOneEventDoesNotStopTheNext() throws InterruptedException {
        mRing.offer(FAULTY);
        mRing.offer(LAST);

        mRing.start();

        assertThat(take(1)).containsExactly(LAST);
    }

    /**
     * Guards against the loss of accepted events if a ring is closed before its thread runs; enough
     * rings are opened at once that some threads start late.
     */
    @Test
    void ringClosedRightAfterItsStartHandlesAcceptedEvents() {
        final AtomicInteger handled = new AtomicInteger();
        for (int i = 0; i < SHORT_LIVED_RINGS; i++) {
            final EventRing<Integer> ring =
                    new EventRing<>(
                            "short", SLOTS, (event, endOfBatch) -> handled.addAndGet(event));
            ring.start();
            assertThat(ring.offer(1)).isTrue();
            ring.close();
        }

        assertThat(handled).hasValue(SHORT_LIVED_RINGS);
    }

    // If new requests could fill the ring, events that end requests in progress would be lost.
    @Test
    void reservedSlotsRefuseOnlyNewWork() {
        int accepted = 0;
        while (mRing.offerNew(accepted)) {
            accepted++;
        }

        assertThat(accepted).isEqualTo(SLOTS - 1);
        assertThat(mRing.waitingEvents()).isEqualTo(accepted);
        assertThat(mRing.offer(LAST)).isTrue();
        assertThat(mRing.offer(LAST)).isFalse();
    }

    private void handle(final int event, final boolean endOfBatch) {
        if (event == FAULTY) {
            throw new IllegalStateException("fault injected by the test");
        }
        mHandled.add(event);
    }

    private List<Integer> take(final int count) throws InterruptedException {
        final List<Integer> events = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            events.add(mHandled.poll(10, TimeUnit.SECONDS));
        }
        return events;
    }
}
