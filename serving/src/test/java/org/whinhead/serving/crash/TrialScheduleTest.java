package org.whinhead.serving.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class TrialScheduleTest {

    @Test
    void pausesGrowUpToAnHour() {
        assertThat(TrialSchedule.delay(3)).isEqualTo(Duration.ofSeconds(5));
        assertThat(TrialSchedule.delay(4)).isEqualTo(Duration.ofSeconds(30));
        assertThat(TrialSchedule.delay(5)).isEqualTo(Duration.ofSeconds(180));
        assertThat(TrialSchedule.delay(9)).isEqualTo(Duration.ofHours(1));
        assertThat(TrialSchedule.delay(Integer.MAX_VALUE)).isEqualTo(Duration.ofHours(1));
    }
}
