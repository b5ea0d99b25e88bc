package org.whinhead.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class MetricsPageTest {

    private static final Path PAGE = Path.of("../docs/METRICS.md");
    private static final Pattern SERVED = Pattern.compile("(?m)^# TYPE (whinhead_\\w+)");
    private static final Pattern DESCRIBED = Pattern.compile("(?m)^\\| `(whinhead_\\w+)`");

    /** Guards against metrics that are served but not documented, or documented but not served. */
    @Test
    void pageListsExactlyTheMetricsOfDaemon() throws Exception {
        try (SingleDaemonDeployment deployment = new SingleDaemonDeployment(20)) {
            final String served =
                    deployment.get(deployment.daemon().operatorUri().resolve("/metrics")).body();
            assertThat(names(SERVED, served))
                    .isNotEmpty()
                    .containsExactlyInAnyOrderElementsOf(names(DESCRIBED, Files.readString(PAGE)));
        }
    }

    private static List<String> names(final Pattern pattern, final String text) {
        return pattern.matcher(text)
                .results()
                .map((MatchResult result) -> result.group(1))
                .toList();
    }
}
