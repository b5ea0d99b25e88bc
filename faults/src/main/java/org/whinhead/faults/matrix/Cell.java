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

    private static final int BETWEEN_MILLIS = 700;
    private static final int AFTER_MILLIS = 3_000;

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
    public Optional<String> impossible() {
        return fault.impossibleAt(step);
    }

    /**
     * Plays the cell and checks every invariant.
     *
     * @param seed the source of chance
     * @return what was seen
     * @throws AssertionError if an invariant is broken
     */
    public Sight play(final long seed) {
        final Scene scene = new Scene(seed);
        step.reach(scene);
        fault.strike(scene);
        for (int time = 1; time < times; time++) {
            scene.world().run(BETWEEN_MILLIS);
            fault.strike(scene);
        }
        scene.world().run(AFTER_MILLIS);
        scene.world().settleAndCheck();
        return Sight.of(scene.world());
    }

    @Override
    public String toString() {
        return fault + " at " + step + (times > 1 ? ", twice" : "");
    }
}
