package org.whinhead.daemon.ring;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks the ring's bound, its reserved share and that it goes on after a fault. */
final class EventRingTest {

    private static final int SLOTS = 8;
    private static final int FAULTY = -1;
    private static final int LAST = 100;

    private final BlockingQueue<Integer> mHandled = new LinkedBlockingQueue<>();
    private final EventRing<Integer> mRing = new EventRing<>("ring", SLOTS, this::handle);

    @AfterEach
    void close() {
        mRing.close();
    }

    // A daemon is offered more than it can take. What it refused must not run later: the caller
    // was told so. The thread starts once the ring is full; a close handles whatever was taken in.
    @Test
    void aFullRingRefusesAndTakesNothingIn() throws InterruptedException {
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

    // A fault in one request's event ends the thread, and every other request hangs.
    @Test
    void aFaultInOneEventDoesNotStopTheNext() throws InterruptedException {
        mRing.offer(FAULTY);
        mRing.offer(LAST);

        mRing.start();

        assertThat(take(1)).containsExactly(LAST);
    }

    // New requests fill the ring, and the events that would end requests in progress are lost.
    @Test
    void theReservedPartRefusesNewEventsOnly() {
        int taken = 0;
        while (mRing.offerNew(taken)) {
            taken++;
        }

        assertThat(taken).isEqualTo(SLOTS - 1);
        assertThat(mRing.waitingEvents()).isEqualTo(taken);
        assertThat(mRing.offer(LAST)).isTrue();
        assertThat(mRing.offer(LAST)).isFalse();
    }

    private void handle(final int event, final boolean endOfBatch) {
        if (event == FAULTY) {
            throw new IllegalStateException("a fault that the test asked for");
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
