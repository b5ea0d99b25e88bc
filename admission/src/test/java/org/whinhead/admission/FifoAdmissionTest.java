package org.whinhead.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.Verdict;

class FifoAdmissionTest {

    @Test
    void boundsRunningAndQueuedRequests() {
        final FifoAdmission admission = new FifoAdmission(1, 2);
        final RequestSpec first = TestRequests.of("c", TestRequests.BATCH, TestRequests.START);
        final RequestSpec second = TestRequests.of("c", TestRequests.BATCH, TestRequests.START);
        assertThat(admission.offer(first, TestRequests.START)).isEmpty();
        assertThat(admission.offer(second, TestRequests.START)).isEmpty();
        assertThat(
                        admission
                                .offer(
                                        TestRequests.of(
                                                "c", TestRequests.BATCH, TestRequests.START),
                                        TestRequests.START)
                                .orElseThrow()
                                .verdict())
                .isEqualTo(Verdict.NOT_RUN);
        assertThat(admission.takeAdmitted(TestRequests.START)).containsExactly(first);
        assertThat(admission.takeAdmitted(TestRequests.START)).isEmpty();
        assertThat(admission.takeShed(TestRequests.START.plus(Duration.ofSeconds(60))))
                .extracting(Admission.ShedRequest::spec)
                .containsExactly(second);
    }
}
