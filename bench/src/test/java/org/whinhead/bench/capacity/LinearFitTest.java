package org.whinhead.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

// Guards against a wrong intercept, slope or determination of the fit, and a wrong median.
class LinearFitTest {

    @Test
    void findsLineAndLowDeterminationOfScatter() {
        final LinearFit line = LinearFit.of(List.of(at(1, 5), at(2, 7), at(10, 23)));
        assertThat(line.fixed()).isCloseTo(3, within(1e-9));
        assertThat(line.slope()).isCloseTo(2, within(1e-9));
        assertThat(line.determination()).isCloseTo(1, within(1e-9));
        assertThat(LinearFit.of(List.of(at(1, 5), at(2, 20), at(3, 5))).determination())
                .isLessThan(0.1);
    }

    @Test
    void findsMedianOfRepetitions() {
        assertThat(Spread.of(9, 1, 4)).isEqualTo(new Spread(1, 4, 9));
    }

    private static LinearFit.Point at(final double size, final double figure) {
        return new LinearFit.Point(size, figure);
    }
}
