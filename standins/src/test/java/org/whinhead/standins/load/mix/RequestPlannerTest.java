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

/** The plan of requests is a function of its seed and keeps to the shares of its mix. */
final class RequestPlannerTest {

    private static final int REQUESTS = 5000;

    @Test
    void sameSeedGivesSameRequests() {
        final Workload mix = Deployment.INKIKO.workload();
        assertThat(plan(mix, 7)).isEqualTo(plan(mix, 7)).isNotEqualTo(plan(mix, 8));
    }

    @ParameterizedTest
    @EnumSource
    void requestsMatchWeightsAndPrefixesOfWorkload(final Deployment deployment) {
        final Workload mix = deployment.workload();
        final List<PlannedRequest> plan = plan(mix, 1);
        assertThat(plan).extracting(PlannedRequest::id).doesNotHaveDuplicates();
        final int weights = mix.customers().stream().mapToInt(LoadCustomer::weight).sum();
        for (final LoadCustomer customer : mix.customers()) {
            final long count = plan.stream().filter(r -> r.customer().equals(customer)).count();
            final double share = (double) customer.weight() / weights;
            assertThat((double) count).isCloseTo(REQUESTS * share, withinPercentage(20));
        }
        for (final RequestKind kind : mix.kinds()) {
            final long first =
                    plan.stream()
                            .filter(r -> r.kind().equals(kind) && r.messages().size() > 1)
                            .map(r -> r.messages().get(0))
                            .distinct()
                            .count();
            final int most = kind.sharedPrefixes() * mix.customers().size();
            assertThat(first).isEqualTo(most);
        }
    }

    /**
     * Whoever starts the examples and plays callers against them gets "unknown key" or "unknown
     * target" if a name differs.
     */
    @ParameterizedTest
    @EnumSource
    void namesAndKeysMatchExampleSettings(final Deployment deployment) throws Exception {
        final Workload mix = deployment.workload();
        final Path file = Path.of("..", "examples", mix.name(), "documents.json");
        final JsonNode documents = new ObjectMapper().readTree(file.toFile());
        final Map<String, JsonNode> byPath = new HashMap<>();
        documents.forEach(one -> byPath.put(one.path("path").asText(), one.path("document")));
        for (final LoadCustomer customer : mix.customers()) {
            final JsonNode document =
                    byPath.entrySet().stream()
                            .filter(one -> one.getKey().endsWith("/customers/" + customer.name()))
                            .findAny()
                            .orElseThrow()
                            .getValue();
            assertThat(document.path("tier").asText()).isEqualTo("/tiers/" + customer.tier());
            assertThat(document.path("keyHashes").path(0).asText())
                    .isEqualTo("sha256:" + sha256(customer.key()));
        }
        assertThat(byPath.keySet())
                .containsAll(
                        mix.models().stream().map(m -> "/models/" + m.replace('@', '/')).toList())
                .containsAll(mix.services().stream().map(s -> "/services/" + s).toList());
    }

    private static String sha256(final String text) throws Exception {
        final byte[] hash =
                MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(hash);
    }

    private static List<PlannedRequest> plan(final Workload mix, final long seed) {
        final RequestPlanner planner = new RequestPlanner(mix, seed);
        return Stream.generate(planner::next).limit(REQUESTS).collect(Collectors.toList());
    }
}
