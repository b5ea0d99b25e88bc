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

class ConfigurationComparisonTest {

    private static List<String> compare(
            final WrittenConfigurations inForce, final WrittenConfigurations next) {
        final Findings findings = new Findings();
        new ConfigurationComparison().compare(inForce.build(), next.build(), findings);
        return findings.list().stream()
                .map(finding -> finding.severity() + " " + finding.path() + " " + finding.rule())
                .toList();
    }

    private static WrittenConfigurations next() {
        return new WrittenConfigurations().version(2);
    }

    private static WrittenConfigurations inForce() {
        return new WrittenConfigurations();
    }

    @Test
    void sameConfigurationHasNoFindings() {
        assertThat(compare(inForce().route("a", "/a/"), inForce().route("a", "/a/"))).isEmpty();
        assertThat(compare(inForce().route("a", "/a/"), next().route("a", "/a/"))).isEmpty();
    }

    // Daemons keep the configuration in force unless the version is higher, so that the change
    // would be sent without any effect.
    @Test
    void changeWithoutHigherVersionIsAnError() {
        assertThat(compare(inForce().version(2), next().service("a")))
                .containsExactly(
                        "NOTE services[0] service-added", "ERROR root.VERSION version-not-newer");
        assertThat(compare(inForce().version(3), next()))
                .containsExactly("ERROR root.VERSION version-not-newer");
    }

    @Test
    void addedMovedAndRemovedRoutesAreFound() {
        assertThat(
                        compare(
                                inForce().route("a", "/a/").route("b", "/b/").route("c", "/c/"),
                                next().route("c", "/c/").route("a", "/x/").route("d", "/d/")))
                .containsExactly(
                        "WARNING routes[1].PATH_PREFIX route-moved",
                        "WARNING routes[1] route-removed",
                        "NOTE routes[2] route-added");
    }

    // Requests to the place still find a route, so that nothing is cut.
    @Test
    void renamedRouteIsNotMoved() {
        assertThat(compare(inForce().route("a", "/a/"), next().route("b", "/a/"))).isEmpty();
    }

    @Test
    void routeThatCutsItsCallersIsFound() {
        final List<WeightedService> other = List.of(new WeightedService("api", 1));
        assertThat(
                        compare(
                                inForce()
                                        .route(
                                                "a",
                                                "/a/",
                                                r ->
                                                        r.keyless(true)
                                                                .kind(RouteKind.STREAMING, true)),
                                next().route(
                                                "a",
                                                "/a/",
                                                other,
                                                r ->
                                                        r.kind(RouteKind.STREAMING, false)
                                                                .times(
                                                                        Duration.ofSeconds(1),
                                                                        Duration.ofSeconds(1))
                                                                .maxAttempts(3)
                                                                .priority(1))))
                .containsExactly(
                        "WARNING routes[0].SERVICES route-services-changed",
                        "WARNING routes[0].RESUMABLE route-not-resumable",
                        "WARNING routes[0].KEYLESS route-needs-key",
                        "WARNING routes[0].TIMEOUT limit-lowered",
                        "NOTE routes[0].MAX_ATTEMPTS limit-raised",
                        "WARNING routes[0].PRIORITY rank-changed");
    }

    @Test
    void servicesWithLessRoomAreFound() {
        final ScalingLimits wide =
                new ScalingLimits(0, 9, Duration.ofSeconds(1), 1, Map.of("a", 1.0, "b", 1.0));
        final ScalingLimits narrow =
                new ScalingLimits(0, 3, Duration.ofSeconds(1), 1, Map.of("a", 1.0));
        assertThat(
                        compare(
                                inForce()
                                        .service("pool", 90, Optional.of(wide))
                                        .service("api", 90, Optional.of(wide))
                                        .service("old"),
                                next().service("pool", 80, Optional.of(narrow))
                                        .service("api", 90, Optional.empty())))
                .containsExactly(
                        "WARNING services[0].MAX_CONNECTIONS limit-lowered",
                        "WARNING services[0].SCALING_MOST limit-lowered",
                        "WARNING services[0].DOMAIN_PRICES service-domains-removed",
                        "WARNING services[1].SCALING scaling-removed",
                        "WARNING services[2] service-removed");
    }

    @Test
    void keysTakenAwayAreFound() {
        assertThat(
                        compare(
                                inForce().customer("a", "1", "2").customer("b", "3"),
                                next().customer("a", "1", "3", "4")))
                .containsExactly(
                        "WARNING customers[0].KEYS[1] key-removed",
                        "WARNING customers[1].KEYS[0] key-moved",
                        "NOTE customers[0].KEYS[2] key-added",
                        "WARNING customers[1] customer-removed");
    }

    // The first customer of a configuration makes all callers without a key fail.
    @Test
    void firstAndLastCustomerAreFound() {
        assertThat(compare(inForce(), next().customer("a", "1")))
                .contains("WARNING customers[0] keys-required");
        assertThat(compare(inForce().customer("a", "1"), next()))
                .contains("WARNING customers[0] keys-not-required");
    }

    @Test
    void loweredAllowancesAreFound() {
        final OptionalInt none = OptionalInt.empty();
        assertThat(
                        compare(
                                inForce()
                                        .customer("a", none, new TokenAllowance(0, 0, 1), "1")
                                        .customer("b", none, new TokenAllowance(9, 9, 1), "2")
                                        .customer("c", none, new TokenAllowance(9, 9, 1), "3"),
                                next().customer("a", none, new TokenAllowance(9, 9, 1), "1")
                                        .customer("b", none, new TokenAllowance(0, 0, 1), "2")
                                        .customer(
                                                "c",
                                                OptionalInt.of(1),
                                                new TokenAllowance(8, 10, 2),
                                                "3")))
                .containsExactly(
                        "WARNING customers[0].RATE allowance-limited",
                        "WARNING customers[1].RATE allowance-unlimited",
                        "WARNING customers[2].RATE limit-lowered",
                        "NOTE customers[2].BURST limit-raised",
                        "WARNING customers[2].PLAIN_TOKENS plain-tokens-changed",
                        "WARNING customers[2].PRIORITY customer-rank-changed");
    }
}
