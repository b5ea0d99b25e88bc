package org.whinhead.faults.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

class FaultMatrixTest {

    /** Guards against faults that break an invariant when injected at a step, once or twice. */
    @TestFactory
    Stream<DynamicTest> everyFaultAtEveryStepKeepsTheInvariants() {
        return Cell.all().stream()
                .map(cell -> DynamicTest.dynamicTest(cell.toString(), () -> check(cell)));
    }

    private static void check(final Cell cell) {
        if (cell.impossibleReason().isPresent()) {
            assertThat(cell.impossibleReason().get()).isNotBlank();
        } else {
            assertThat(cell.run(FaultMatrix.SEED).completed()).isPositive();
        }
    }
}
