package org.whinhead.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Guards against benchmarks missing from the command line and against runs that ignore the seed.
 */
class BenchMainTest {

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();

    @Test
    void listsEveryBenchmarkAndRejectsInvalidArguments() {
        assertThat(run("--list")).isZero();
        for (final BenchmarkCatalog entry : BenchmarkCatalog.values()) {
            assertThat(mOut.toString(StandardCharsets.UTF_8))
                    .contains(entry.create().name() + "\t");
            assertThat(BenchmarkCatalog.find(entry.create().name())).isPresent();
        }
        assertThat(run("no-such")).isEqualTo(2);
        assertThat(run("routing", "--seed", "x")).isEqualTo(2);
    }

    @Test
    void sameSeedGivesSameFigures() {
        assertThat(run("goodput", "--json", "--seed", "3")).isZero();
        final String first = mOut.toString(StandardCharsets.UTF_8);
        mOut.reset();
        run("goodput", "--json", "--seed", "3");
        assertThat(mOut.toString(StandardCharsets.UTF_8)).isEqualTo(first);
    }

    private int run(final String... arguments) {
        return BenchMain.run(
                arguments,
                new PrintStream(mOut, true, StandardCharsets.UTF_8),
                new PrintStream(mErrors, true, StandardCharsets.UTF_8));
    }
}
