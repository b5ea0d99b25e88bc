package org.whinhead.serving.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class StorePositionTest {

    @Property(seed = "1")
    void partsAreKept(
            @ForAll @LongRange(min = 0, max = StorePosition.MAX_ERA) final long era,
            @ForAll @LongRange(min = 0, max = StorePosition.MAX_OFFSET) final long offset) {
        final long position = StorePosition.of(era, offset);
        assertThat(position).isNotNegative();
        assertThat(StorePosition.era(position)).isEqualTo(era);
        assertThat(StorePosition.offset(position)).isEqualTo(offset);
    }

    // Guards against a record of the store's older copy that counts as newer than what replaced it.
    @Test
    void laterEraIsGreaterWhateverTheOffset() {
        assertThat(StorePosition.of(1, 0)).isGreaterThan(StorePosition.of(0, 900));
        assertThat(StorePosition.of(2, 3)).isGreaterThan(StorePosition.of(2, 2));
    }

    @Test
    void positionOfEraZeroIsItsOffset() {
        assertThat(StorePosition.of(0, 42)).isEqualTo(42);
    }

    @Test
    void numbersOutOfRangeAreRejected() {
        assertThatThrownBy(() -> StorePosition.of(-1, 0))
                .hasMessage("era out of range: -1")
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> StorePosition.of(0, StorePosition.MAX_OFFSET + 1))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
