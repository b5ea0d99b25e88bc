package org.whinhead.gateway.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.serving.route.RouteKind;

class RequestMetricsTest {

    private final RequestMetrics mMetrics = new RequestMetrics();

    @Test
    void countsBeforeFirstScrapeAreShown() {
        mMetrics.recordRefused("stopping");
        mMetrics.recordRefused("stopping");
        assertThat(mMetrics.renderPage())
                .contains("whinhead_requests_refused_total{reason=\"stopping\"} 2.0");
    }

    @Test
    void countsAfterFirstScrapeAreShown() {
        mMetrics.renderPage();
        mMetrics.recordFailedAttempt(Verdict.NOT_RUN, "CONNECTION_LOST");
        mMetrics.recordMoved(true);
        assertThat(mMetrics.renderPage())
                .contains(
                        "whinhead_attempts_failed_total{reason=\"CONNECTION_LOST\","
                                + "verdict=\"not-run\"} 1.0")
                .contains("whinhead_runs_moved_total{answered=\"true\"} 1.0");
    }

    @Test
    void gaugesAreReadAtEachScrape() {
        final AtomicLong version = new AtomicLong(7);
        mMetrics.addGauge("whinhead.configuration.version", version::get);
        assertThat(mMetrics.renderPage()).contains("whinhead_configuration_version 7.0");
        version.set(9);
        assertThat(mMetrics.renderPage()).contains("whinhead_configuration_version 9.0");
    }

    // Guards against services that are shown with their last number after their endpoints are gone.
    @Test
    void gaugesWithTagAreReadAtEachScrape() {
        final Map<List<String>, Integer> open =
                new HashMap<>(Map.of(List.of("api"), 2, List.of("pool"), 3));
        mMetrics.addGauges("whinhead.endpoint.connections.open", List.of("service"), () -> open);
        assertThat(mMetrics.renderPage())
                .contains("whinhead_endpoint_connections_open{service=\"api\"} 2.0")
                .contains("whinhead_endpoint_connections_open{service=\"pool\"} 3.0");
        open.put(List.of("api"), 5);
        open.remove(List.of("pool"));
        assertThat(mMetrics.renderPage())
                .contains("whinhead_endpoint_connections_open{service=\"api\"} 5.0")
                .doesNotContain("pool");
    }

    @Test
    void tokensAreSummedByCustomer() {
        mMetrics.recordAdmitted("clinic", 4_000);
        mMetrics.recordAdmitted("clinic", 200);
        mMetrics.recordAdmitted("court", 100);
        assertThat(mMetrics.renderPage())
                .contains("whinhead_tokens_admitted_total{customer=\"clinic\"} 4200.0")
                .contains("whinhead_tokens_admitted_total{customer=\"court\"} 100.0");
    }

    @Test
    void timesAreCountedCumulatively() {
        mMetrics.recordFinished(RouteKind.IDEMPOTENT, "answered", Duration.ofMillis(30));
        mMetrics.recordFinished(RouteKind.IDEMPOTENT, "answered", Duration.ofSeconds(20));
        assertThat(mMetrics.renderPage())
                .contains("whinhead_requests_within_total{kind=\"IDEMPOTENT\",millis=\"50\"} 1.0")
                .contains("whinhead_requests_within_total{kind=\"IDEMPOTENT\",millis=\"+Inf\"} 2.0")
                .doesNotContain("millis=\"20\"");
    }

    @Test
    void connectsAndDeniedRetriesAreCounted() {
        final RequestMetrics metrics = new RequestMetrics();
        metrics.recordConnect(true);
        metrics.recordConnect(false);
        metrics.recordConnect(false);
        metrics.recordRetryDenied("api");
        assertThat(metrics.renderPage())
                .contains("whinhead_endpoint_connects_total{outcome=\"accepted\"} 1.0")
                .contains("whinhead_endpoint_connects_total{outcome=\"failed\"} 2.0")
                .contains("whinhead_retries_denied_total{service=\"api\"} 1.0");
    }
}
