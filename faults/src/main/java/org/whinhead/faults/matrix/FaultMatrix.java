package org.whinhead.faults.matrix;

import java.util.List;
import java.util.Optional;

/** Plays all cells and writes down what came of each. */
public final class FaultMatrix {

    /** The seed that the tests and the page use. */
    public static final long SEED = 20261202;

    private final List<Result> mResults;

    private FaultMatrix(final List<Result> results) {
        mResults = results;
    }

    /**
     * Plays every cell.
     *
     * @param seed the source of chance
     * @return the results
     */
    public static FaultMatrix run(final long seed) {
        return new FaultMatrix(
                Cell.all().parallelStream().map(cell -> Result.of(cell, seed)).toList());
    }

    /** Returns the cells in which an invariant broke. */
    public List<Result> failures() {
        return mResults.stream().filter(result -> result.failure().isPresent()).toList();
    }

    public List<Result> results() {
        return mResults;
    }

    /**
     * What came of one cell.
     *
     * @param cell the cell
     * @param text what was seen, or why it can't occur, or what broke
     * @param failure what broke
     */
    public record Result(Cell cell, String text, Optional<Throwable> failure) {

        private static Result of(final Cell cell, final long seed) {
            if (cell.impossibleReason().isPresent()) {
                return new Result(cell, "n/a: " + cell.impossibleReason().get(), Optional.empty());
            }
            try {
                return new Result(cell, cell.run(seed).toString(), Optional.empty());
            } catch (final AssertionError | RuntimeException broken) {
                final String text = "FAILED: " + firstLine(String.valueOf(broken.getMessage()));
                return new Result(cell, text, Optional.of(broken));
            }
        }

        private static String firstLine(final String text) {
            return text.lines().findFirst().orElse("");
        }
    }
}
