package org.whinhead.faults.matrix;

import java.util.List;
import java.util.Optional;

/** The results of a run of all cells of the fault matrix. */
public final class FaultMatrix {

    /** The seed of the tests and of the matrix page. */
    public static final long SEED = 20261202;

    private final List<Result> mResults;

    private FaultMatrix(final List<Result> results) {
        mResults = results;
    }

    /**
     * Runs every cell, in parallel.
     *
     * @param seed the seed of each cell's world
     * @return the results
     */
    public static FaultMatrix run(final long seed) {
        return new FaultMatrix(
                Cell.all().parallelStream().map(cell -> Result.of(cell, seed)).toList());
    }

    /** Returns the results of the cells that violated an invariant or threw an exception. */
    public List<Result> failures() {
        return mResults.stream().filter(result -> result.failure().isPresent()).toList();
    }

    public List<Result> results() {
        return mResults;
    }

    /**
     * The result of one cell.
     *
     * @param cell the cell
     * @param text the outcome, the reason why the cell can't occur, or the failure's first line
     * @param failure the failure; empty if the invariants held or the cell can't occur
     */
    public record Result(Cell cell, String text, Optional<Throwable> failure) {

        private static Result of(final Cell cell, final long seed) {
            if (cell.impossibleReason().isPresent()) {
                return new Result(cell, "n/a: " + cell.impossibleReason().get(), Optional.empty());
            }
            try {
                return new Result(cell, cell.run(seed).toString(), Optional.empty());
            } catch (final AssertionError | RuntimeException failure) {
                final String text = "FAILED: " + firstLine(String.valueOf(failure.getMessage()));
                return new Result(cell, text, Optional.of(failure));
            }
        }

        private static String firstLine(final String text) {
            return text.lines().findFirst().orElse("");
        }
    }
}
