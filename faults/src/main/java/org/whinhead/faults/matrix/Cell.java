package org.whinhead.faults.matrix;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One fault at one step, provoked once or twice.
 *
 * @param step the step
 * @param fault the fault
 * @param times how often it is provoked
 */
public record Cell(Step step, Fault fault, int times) {

    private static final int INTERVAL_MILLIS = 700;
    private static final int AFTER_FAULT_MILLIS = 2_200;
    private static final int LATER_REQUESTS = 12;
    private static final int LATER_REQUESTS_MILLIS = 200;

    /** Returns every cell, also those that can't occur. */
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

    /** Returns why the cell can't occur; empty if it can. */
    public Optional<String> impossibleReason() {
        return fault.impossibleReasonAt(step);
    }

    /**
     * Plays the cell and checks every invariant.
     *
     * @param seed the source of chance
     * @return what was seen
     * @throws AssertionError if an invariant is broken
     */
    public CellOutcome run(final long seed) {
        final FaultScenario scene = new FaultScenario(seed);
        step.reach(scene);
        fault.inject(scene);
        for (int time = 1; time < times; time++) {
            scene.world().advance(INTERVAL_MILLIS);
            fault.inject(scene);
        }
        scene.world().advance(AFTER_FAULT_MILLIS);
        submitLaterRequests(scene);
        scene.world().settleAndCheck();
        return CellOutcome.of(scene.world());
    }

    /** New work, at a time when notices must be heeded and the list does not show them yet. */
    private static void submitLaterRequests(final FaultScenario scene) {
        for (int number = 0; number < LATER_REQUESTS; number++) {
            scene.world().submitChat(20, true, true);
            scene.world().submitCall(true);
        }
        scene.world().advance(LATER_REQUESTS_MILLIS);
    }

    @Override
    public String toString() {
        return fault + " at " + step + (times > 1 ? ", twice" : "");
    }
}
