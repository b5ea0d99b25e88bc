package org.whinhead.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.Verdict;

class SimpleAdmissionTest {

    @Test
    void neitherQueueNorRunningGrowsPastItsBound() {
        final SimpleAdmission admission = new SimpleAdmission(1, 2);
        final RequestSpec first = Requests.of("c", Requests.BATCH, Requests.START);
        final RequestSpec second = Requests.of("c", Requests.BATCH, Requests.START);
        assertThat(admission.offer(first, Requests.START)).isEmpty();
        assertThat(admission.offer(second, Requests.START)).isEmpty();
        assertThat(
                        admission
                                .offer(
                                        Requests.of("c", Requests.BATCH, Requests.START),
                                        Requests.START)
                                .orElseThrow()
                                .verdict())
                .isEqualTo(Verdict.NOT_RUN);
        assertThat(admission.admitted(Requests.START)).containsExactly(first);
        assertThat(admission.admitted(Requests.START)).isEmpty();
        assertThat(admission.shed(Requests.START.plus(Duration.ofSeconds(60))))
                .extracting(Admission.Shed::spec)
                .containsExactly(second);
    }
}
