package org.whinhead.faults.matrix;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Renders the page of the fault matrix from one run. */
public final class MatrixPage {

    private static final List<String> INVARIANTS =
            List.of(
                    "every caller has its whole answer once, token for token its own, or a refusal",
                    "a request that was refused as not run did not run; a caller that was cut off"
                            + " and asks anew is told about the new submission only",
                    "a non-idempotent request ran at most once",
                    "two seconds after its notice an endpoint gets new work from no daemon that was"
                            + " not paused meanwhile",
                    "a planned stop, of a daemon or by order of a VM, cut no request",
                    "no daemon's settings were ever set back; after the faults each daemon has what"
                        + " a replay of all records gives, and each operator was told the truth",
                    "at no time more than one daemon may act for the fleet; engines that check"
                            + " refuse old fencing numbers, for others the window is in the cell",
                    "after the faults the plan is met, the wanted version is loaded and nothing is"
                            + " left over");

    private final StringBuilder mText = new StringBuilder();
    private final FaultMatrix mMatrix;

    /** Creates a page for a run of the matrix. */
    public MatrixPage(final FaultMatrix matrix) {
        mMatrix = matrix;
    }

    /** Returns the page as Markdown. */
    public String render(final long seed) {
        line("# Fault matrix");
        line("");
        line("Written by `bin/fuzz --matrix FILE` with seed " + seed + "; do not edit this part.");
        line(
                "Each cell drives a world of three daemons, six engines and three services to a"
                        + " step,");
        line("provokes the fault once or twice, ends all faults.");
        line("Limits and trials: design/faults.md. Checked:");
        line("");
        for (int index = 0; index < INVARIANTS.size(); index++) {
            line((index + 1) + ". " + INVARIANTS.get(index) + ";");
        }
        line("");
        line("A cell shows what its callers got when all of them held.");
        line("");
        totals();
        for (final Fault fault : Fault.values()) {
            table(fault);
        }
        return mText.toString();
    }

    private void totals() {
        final List<FaultMatrix.Result> results = mMatrix.results();
        final long impossible =
                results.stream()
                        .filter(result -> result.cell().impossibleReason().isPresent())
                        .count();
        final long failed = mMatrix.failures().size();
        line(
                String.format(
                        Locale.ROOT,
                        "%d cells: %d held, %d failed, %d can't occur.",
                        results.size(),
                        results.size() - impossible - failed,
                        failed,
                        impossible));
    }

    private void table(final Fault fault) {
        line("");
        line("## " + fault.name() + ": " + fault.description());
        line("");
        line("| step | once | twice |");
        line("|---|---|---|");
        final Map<Step, String[]> rows = new TreeMap<>();
        for (final FaultMatrix.Result result : mMatrix.results()) {
            if (result.cell().fault() == fault) {
                rows.computeIfAbsent(result.cell().step(), step -> new String[2])[
                                result.cell().times() - 1] =
                        result.text();
            }
        }
        rows.forEach(
                (step, row) ->
                        line("| " + step.description() + " | " + row[0] + " | " + row[1] + " |"));
    }

    private void line(final String text) {
        mText.append(text).append('\n');
    }
}
