package org.whinhead.faults;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.whinhead.faults.world.FakeCaller;
import org.whinhead.faults.world.FakeWorld;

class PlannedStopTest {

    /**
     * A failure domain is reclaimed with notice while its engines generate. Guards against lost
     * answers, also of requests that must not run twice, and against tokens computed twice.
     */
    @Test
    void reclaimWithNoticeCompletesEveryAnswerInOneRun() {
        final FakeWorld world = new FakeWorld(1, 2, 6, 0);
        for (int number = 0; number < 40; number++) {
            world.submitChat(100, number % 2 == 0, number % 3 != 0);
        }
        world.advance(500);
        world.backends().subList(0, 2).forEach(backend -> world.reclaim(backend, 1500));
        world.settleAndCheck();
        assertThat(world.callers())
                .allMatch(caller -> caller.outcome() == FakeCaller.Outcome.WHOLE);
        assertThat(world.callers()).allMatch(caller -> world.runCount(caller.id()) == 1);
    }

    /** Guards against lost or repeated work when callers move away from a stopping daemon. */
    @Test
    void plannedStopCompletesEveryAnswerInOneRun() {
        final FakeWorld world = new FakeWorld(2, 2, 3, 0);
        for (int number = 0; number < 30; number++) {
            world.submitChat(100, number % 2 == 0, number % 3 != 0);
        }
        world.advance(500);
        world.daemons().get(0).stop(1000);
        world.settleAndCheck();
        assertThat(world.callers())
                .allMatch(caller -> caller.outcome() == FakeCaller.Outcome.WHOLE);
        assertThat(world.callers()).allMatch(caller -> world.runCount(caller.id()) == 1);
    }
}
