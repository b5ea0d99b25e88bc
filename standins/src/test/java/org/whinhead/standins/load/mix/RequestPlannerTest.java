package org.whinhead.standins.load.mix;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.withinPercentage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Generated requests depend only on the seed and match the weights of the workload. */
final class RequestPlannerTest {

    private static final int REQUESTS = 5000;

    @Test
    void sameSeedGivesSameRequests() {
        final Workload workload = Deployment.INKIKO.workload();
        assertThat(plan(workload, 7)).isEqualTo(plan(workload, 7)).isNotEqualTo(plan(workload, 8));
    }

    @ParameterizedTest
    @EnumSource
    void requestsMatchWeightsAndPrefixesOfWorkload(final Deployment deployment) {
        final Workload workload = deployment.workload();
        final List<PlannedRequest> plan = plan(workload, 1);
        assertThat(plan).extracting(PlannedRequest::id).doesNotHaveDuplicates();
        final int weights = workload.customers().stream().mapToInt(LoadCustomer::weight).sum();
        for (final LoadCustomer customer : workload.customers()) {
            final long count = plan.stream().filter(r -> r.customer().equals(customer)).count();
            final double share = (double) customer.weight() / weights;
            assertThat((double) count).isCloseTo(REQUESTS * share, withinPercentage(20));
        }
        for (final RequestKind kind : workload.kinds()) {
            final long prefixes =
                    plan.stream()
                            .filter(r -> r.kind().equals(kind) && r.messages().size() > 1)
                            .map(r -> r.messages().get(0))
                            .distinct()
                            .count();
            final int expectedPrefixes = kind.sharedPrefixes() * workload.customers().size();
            assertThat(prefixes).isEqualTo(expectedPrefixes);
        }
    }

    /**
     * If a name differs from the example settings, load runs against the examples fail with
     * "unknown key" or "unknown target".
     */
    @ParameterizedTest
    @EnumSource
    void namesAndKeysMatchExampleSettings(final Deployment deployment) throws Exception {
        final Workload workload = deployment.workload();
        final Path file = Path.of("..", "examples", workload.name(), "documents.json");
        final JsonNode documents = new ObjectMapper().readTree(file.toFile());
        final Map<String, JsonNode> byPath = new HashMap<>();
        documents.forEach(entry -> byPath.put(entry.path("path").asText(), entry.path("document")));
        for (final LoadCustomer customer : workload.customers()) {
            final JsonNode document =
                    byPath.entrySet().stream()
                            .filter(
                                    entry ->
                                            entry.getKey()
                                                    .endsWith("/customers/" + customer.name()))
                            .findAny()
                            .orElseThrow()
                            .getValue();
            assertThat(document.path("tier").asText()).isEqualTo("/tiers/" + customer.tier());
            assertThat(document.path("keyHashes").path(0).asText())
                    .isEqualTo("sha256:" + sha256(customer.key()));
        }
        assertThat(byPath.keySet())
                .containsAll(
                        workload.models().stream()
                                .map(m -> "/models/" + m.replace('@', '/'))
                                .toList())
                .containsAll(workload.services().stream().map(s -> "/services/" + s).toList());
    }

    private static String sha256(final String text) throws Exception {
        final byte[] hash =
                MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(hash);
    }

    private static List<PlannedRequest> plan(final Workload workload, final long seed) {
        final RequestPlanner planner = new RequestPlanner(workload, seed);
        return Stream.generate(planner::next).limit(REQUESTS).collect(Collectors.toList());
    }
}
