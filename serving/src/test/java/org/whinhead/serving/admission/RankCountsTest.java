package org.whinhead.serving.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class RankCountsTest {

    private static final RankCounts COUNTS = RankCounts.of(List.of(3, 0, 5));

    @Test
    void ranksAreSummed() {
        assertThat(COUNTS.total()).isEqualTo(8);
        assertThat(COUNTS.moreUrgentThan(2)).isEqualTo(3);
        assertThat(COUNTS.moreUrgentThan(0)).isZero();
        assertThat(COUNTS.lessUrgentThan(0)).isEqualTo(5);
        assertThat(COUNTS.lessUrgentThan(2)).isZero();
        assertThat(COUNTS.plus(COUNTS).total()).isEqualTo(16);
    }

    // Guards against a report with damaged numbers, or of a later version with more ranks.
    @Test
    void numbersThatAreNotUnderstoodCountAsNone() {
        assertThat(RankCounts.of(List.of(-4, 2)).toList()).containsExactly(0, 2);
        assertThat(RankCounts.of(Collections.nCopies(20, 1)).total()).isEqualTo(RankCounts.RANKS);
        assertThat(COUNTS.minus(COUNTS.plus(COUNTS)).total()).isZero();
    }

    @Test
    void lessUrgentRanksThanTheLastCountAsTheLast() {
        assertThat(RankCounts.NONE.changed(40, 1).lessUrgentThan(RankCounts.RANKS - 2))
                .isEqualTo(1);
    }

    @Test
    void listEndsWithTheLastRankThatHasRequests() {
        assertThat(COUNTS.toList()).containsExactly(3, 0, 5);
        assertThat(RankCounts.NONE.toList()).isEmpty();
    }
}
