package org.whinhead.faults.matrix;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A cell of the fault matrix: one fault injected at one step, once or twice.
 *
 * @param step the step
 * @param fault the fault
 * @param times the number of injections, 1 or 2
 */
public record Cell(Step step, Fault fault, int times) {

    private static final int INTERVAL_MILLIS = 700;
    private static final int AFTER_FAULT_MILLIS = 2_200;
    private static final int LATER_REQUESTS = 12;
    private static final int LATER_REQUESTS_MILLIS = 200;

    /** Returns every cell, including the impossible ones. */
    public static List<Cell> all() {
        final List<Cell> cells = new ArrayList<>();
        for (final Fault fault : Fault.values()) {
            for (final Step step : Step.values()) {
                cells.add(new Cell(step, fault, 1));
                cells.add(new Cell(step, fault, 2));
            }
        }
        return cells;
    }

    /** Returns the reason why the cell can't occur; empty if it can. */
    public Optional<String> impossibleReason() {
        return fault.impossibleReasonAt(step);
    }

    /**
     * Runs the cell and checks every invariant.
     *
     * @param seed the seed of the world
     * @return the outcome
     * @throws AssertionError if an invariant is violated
     */
    public CellOutcome run(final long seed) {
        final FaultScenario scenario = new FaultScenario(seed);
        step.reach(scenario);
        fault.inject(scenario);
        for (int injection = 1; injection < times; injection++) {
            scenario.world().advance(INTERVAL_MILLIS);
            fault.inject(scenario);
        }
        scenario.world().advance(AFTER_FAULT_MILLIS);
        submitLaterRequests(scenario);
        scenario.world().settleAndCheck();
        return CellOutcome.of(scenario.world());
    }

    /** Submits requests when daemons must respect a notice that the VM list does not show yet. */
    private static void submitLaterRequests(final FaultScenario scenario) {
        for (int number = 0; number < LATER_REQUESTS; number++) {
            scenario.world().submitChat(20, true, true);
            scenario.world().submitCall(true);
        }
        scenario.world().advance(LATER_REQUESTS_MILLIS);
    }

    @Override
    public String toString() {
        return fault + " at " + step + (times > 1 ? ", twice" : "");
    }
}
