package org.whinhead.serving.configuration.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.configuration.ScalingLimits;
import org.whinhead.serving.configuration.TokenAllowance;
import org.whinhead.serving.route.RouteKind;
import org.whinhead.serving.route.WeightedService;

class ConfigurationCheckTest {

    private static final CheckAssumptions ASSUMPTIONS =
            new CheckAssumptions(Duration.ofSeconds(30), 10);

    private static List<String> findings(final WrittenConfigurations configuration) {
        return findings(configuration.build());
    }

    private static List<String> findings(final WrittenConfiguration configuration) {
        final Findings findings = new Findings();
        new ConfigurationCheck(ASSUMPTIONS).check(configuration, findings);
        return findings.list().stream()
                .map(finding -> finding.path() + " " + finding.rule())
                .toList();
    }

    private static WrittenConfigurations usual() {
        return new WrittenConfigurations().service("pool").route("chat", "/chat/");
    }

    @Test
    void usualConfigurationHasNoFindings() {
        assertThat(findings(usual().customer("clinic", "k1", "k2"))).isEmpty();
    }

    // Of two routes with one host and prefix the later one gets all requests, without a message.
    @Test
    void routeThatLaterOneReplacesIsFound() {
        assertThat(findings(usual().route("draft", "/chat/").route("deep", "/chat/deep/")))
                .containsExactly("routes[0] route-shadowed");
    }

    @Test
    void routeThatNoRequestCanMatchIsFound() {
        assertThat(
                        findings(
                                usual().route("a", "/open")
                                        .route("b", "x/")
                                        .route("c", "/a b/")
                                        .route("d", "/d/", r -> r.match("desk.example:80", "/d/"))))
                .containsExactly(
                        "routes[1].PATH_PREFIX route-prefix",
                        "routes[2].PATH_PREFIX route-prefix",
                        "routes[3].PATH_PREFIX route-characters",
                        "routes[4].HOST route-host");
    }

    @Test
    void namesOfNothingAreFound() {
        final List<WeightedService> shares =
                List.of(new WeightedService("pool", 1), new WeightedService("gone", 1));
        assertThat(findings(usual().route("split", "/s/", shares, r -> r).service("idle")))
                .containsExactly(
                        "routes[1].SERVICES[1] route-service", "services[1] service-unused");
    }

    // A service that could not be decoded must not look like one that does not exist.
    @Test
    void namesAreNotComparedWithMissingEntries() {
        final WrittenConfiguration all = usual().route("x", "/x/", r -> r.priority(-1)).build();
        final WrittenConfiguration partial =
                new WrittenConfiguration(
                        all.version(), all.routes(), List.of(), List.of(), all.limits(), false);
        assertThat(findings(partial)).isEmpty();
    }

    @Test
    void contradictingSharesAreFound() {
        final WeightedService most = new WeightedService("pool", Integer.MAX_VALUE);
        final WeightedService none = new WeightedService("pool", 0);
        assertThat(
                        findings(
                                usual().route("a", "/a/", List.of(most, most), r -> r)
                                        .route("b", "/b/", List.of(none), r -> r)))
                .containsExactly(
                        "routes[1].SERVICES shares-overflow",
                        "routes[1].SERVICES[1] shares-repeated",
                        "routes[2].SERVICES shares-zero");
    }

    @Test
    void contradictingTimesAndAttemptsAreFound() {
        final Duration minute = Duration.ofMinutes(1);
        assertThat(
                        findings(
                                usual().route("a", "/a/", r -> r.times(minute, minute))
                                        .route(
                                                "stream",
                                                "/b/",
                                                r ->
                                                        r.times(minute, minute)
                                                                .kind(RouteKind.STREAMING, false))
                                        .route(
                                                "c",
                                                "/c/",
                                                r -> r.times(Duration.ofSeconds(1), minute))
                                        .route("d", "/d/", r -> r.maxAttempts(9))
                                        .route("e", "/e/", r -> r.maxAttempts(10))))
                .containsExactly(
                        "routes[1].TIMEOUT timeout-beyond-callers",
                        "routes[3].TARGET_LATENCY target-beyond-timeout",
                        "routes[5].MAX_ATTEMPTS attempts-beyond-budget");
    }

    @Test
    void servicesWithoutEndpointsAreFound() {
        final ScalingLimits none = new ScalingLimits(0, 0, Duration.ofSeconds(1), 2, Map.of());
        assertThat(
                        findings(
                                new WrittenConfigurations()
                                        .service("pool", 1, Optional.of(none))
                                        .route("chat", "/chat/")))
                .containsExactly(
                        "services[0].SCALING_MOST service-without-endpoints",
                        "services[0].DOMAIN_PRICES service-without-domains",
                        "services[0].RECLAIMABLE_PRICE reclaimable-price");
    }

    // Requests with a shared key count against the allowance of the customer named last.
    @Test
    void sharedAndUselessKeysAreFound() {
        assertThat(findings(usual().customer("a", "k", "k").customer("b", "k", " ").customer("c")))
                .containsExactly(
                        "customers[0].KEYS[1] key-repeated",
                        "customers[1].KEYS[0] key-shared",
                        "customers[1].KEYS[1] key-blank",
                        "customers[2].KEYS customer-without-keys");
    }

    @Test
    void allowancesThatNeverAdmitAreFound() {
        final OptionalInt none = OptionalInt.empty();
        assertThat(
                        findings(
                                usual().customer("a", none, new TokenAllowance(5, 9, 10), "a")
                                        .customer("b", none, new TokenAllowance(0, 9, 1), "b")
                                        .customer("c", none, new TokenAllowance(0, 0, 1), "c")))
                .containsExactly(
                        "customers[0].BURST burst-under-request",
                        "customers[1].RATE allowance-without-rate");
    }

    @Test
    void ranksThatNoRouteHasAreFound() {
        final TokenAllowance allowance = new TokenAllowance(10, 10, 1);
        assertThat(
                        findings(
                                usual().customer("a", OptionalInt.of(0), allowance, "a")
                                        .customer("b", OptionalInt.of(7), allowance, "b")
                                        .customer("c", OptionalInt.of(-1), allowance, "c")
                                        .route("d", "/d/", r -> r.priority(-2))))
                .containsExactly(
                        "routes[1].PRIORITY rank-negative",
                        "customers[1].PRIORITY rank-unused",
                        "customers[2].PRIORITY rank-negative");
    }

    @Test
    void repeatedNamesAreFound() {
        assertThat(
                        findings(
                                usual().service("pool")
                                        .route("chat", "/x/")
                                        .customer("a", "1")
                                        .customer("a", "2")))
                .containsExactly(
                        "routes[0].NAME route-name-repeated",
                        "services[0].NAME service-name-repeated",
                        "customers[0].NAME customer-repeated");
    }
}
