package org.whinhead.routing;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Tier;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;

/** Creates endpoints, requests and routers for the tests of this module. */
final class Fixtures {
    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    static final ModelRef MODEL = ModelRef.of("claims", "1");
    static final FailureDomain GASABO = new FailureDomain("kigali", "kg-gasabo");

    private static final Tier TIER =
            new Tier(
                    "gold", 1, Duration.ofSeconds(1), Duration.ofMillis(50), Duration.ofMinutes(1));
    private static long sNextId;

    private Fixtures() {}

    static Endpoint engine(final int number, final FailureDomain domain) {
        final Vm vm =
                new Vm(
                        new VmId("vm" + number),
                        "127.0.0.1",
                        domain,
                        "gpu",
                        Billing.RECLAIMABLE,
                        VmState.LIVE);
        return Endpoint.engine(id(number))
                .vm(vm)
                .uri(URI.create("http://127.0.0.1:8000"))
                .models(Set.of(MODEL))
                .slots(8)
                .build();
    }

    static EndpointId id(final int number) {
        return new EndpointId("e" + number);
    }

    static List<Endpoint> engines(final int count) {
        final List<Endpoint> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engine(i, GASABO));
        }
        return engines;
    }

    static AffinityRouter router(final RoutingStrategy strategy, final int engines, long seed) {
        final AffinityRouter router =
                new AffinityRouter(
                        RoutingSettings.of(GASABO).withStrategy(strategy), new Random(seed));
        router.endpointsChanged(engines(engines));
        return router;
    }

    static RequestSpec request(final Long... prefixes) {
        return builder(1000, prefixes).build();
    }

    static RequestSpec longRequest(final Long... prefixes) {
        return builder(20_000, prefixes).build();
    }

    static RequestSpec nonIdempotentRequest(final Long... prefixes) {
        return builder(1000, prefixes).idempotent(false).build();
    }

    private static RequestSpec.Builder builder(final int promptTokens, final Long... prefixes) {
        return RequestSpec.builder(new RequestId("r" + sNextId++))
                .customer(new CustomerId("clinic"))
                .tier(TIER)
                .model(MODEL)
                .prefixHashes(List.of(prefixes))
                .promptTokens(promptTokens)
                .maxTokens(100)
                .arrived(START)
                .deadline(START.plusSeconds(60));
    }
}
