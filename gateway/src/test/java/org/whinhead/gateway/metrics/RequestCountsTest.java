package org.whinhead.gateway.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.serving.route.RouteKind;

class RequestCountsTest {

    private final RequestCounts mCounts = new RequestCounts();

    @Test
    void countsFromBeforeThePageWasFirstReadAreOnIt() {
        mCounts.refused("stopping");
        mCounts.refused("stopping");
        assertThat(mCounts.page())
                .contains("whinhead_requests_refused_total{reason=\"stopping\"} 2.0");
    }

    @Test
    void countsThatAppearLaterAreOnTheNextPage() {
        mCounts.page();
        mCounts.attemptFailed(Verdict.NOT_RUN, "CONNECTION_LOST");
        mCounts.moved(true);
        assertThat(mCounts.page())
                .contains(
                        "whinhead_attempts_failed_total{reason=\"CONNECTION_LOST\","
                                + "verdict=\"not-run\"} 1.0")
                .contains("whinhead_runs_moved_total{answered=\"true\"} 1.0");
    }

    @Test
    void tokensAreSummedByCustomer() {
        mCounts.admitted("clinic", 4_000);
        mCounts.admitted("clinic", 200);
        mCounts.admitted("court", 100);
        assertThat(mCounts.page())
                .contains("whinhead_tokens_admitted_total{customer=\"clinic\"} 4200.0")
                .contains("whinhead_tokens_admitted_total{customer=\"court\"} 100.0");
    }

    @Test
    void timesAreCountedCumulatively() {
        mCounts.finished(RouteKind.IDEMPOTENT, "answered", Duration.ofMillis(30));
        mCounts.finished(RouteKind.IDEMPOTENT, "answered", Duration.ofSeconds(20));
        assertThat(mCounts.page())
                .contains("whinhead_requests_within_total{kind=\"IDEMPOTENT\",millis=\"50\"} 1.0")
                .contains("whinhead_requests_within_total{kind=\"IDEMPOTENT\",millis=\"+Inf\"} 2.0")
                .doesNotContain("millis=\"20\"");
    }
}
