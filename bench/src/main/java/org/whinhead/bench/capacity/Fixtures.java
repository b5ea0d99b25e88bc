package org.whinhead.bench.capacity;

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

/** Creates the endpoints and requests that the cost benchmarks use. */
final class Fixtures {

    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    static final ModelRef MODEL = ModelRef.of("filing-drafts", "2026.1");
    static final int DOMAINS = 9;
    static final int DOMAINS_IN_REGION = 3;
    static final int PROMPT_TOKENS = 1_024;

    private static final int BLOCK_TOKENS = 16;
    private static final int SHARED_PREFIX_BLOCKS = 32;
    private static final int APPLICATIONS = 24;
    private static final int SLOTS = 16;
    private static final int MAX_TOKENS = 512;
    private static final Tier TIER =
            new Tier(
                    "clerk",
                    2,
                    Duration.ofMillis(1400),
                    Duration.ofMillis(72),
                    Duration.ofMinutes(2));

    private Fixtures() {}

    /** Returns a failure domain, assigned round-robin by number. */
    static FailureDomain domain(final int number) {
        final int domain = number % DOMAINS;
        return new FailureDomain("region" + domain / DOMAINS_IN_REGION, "domain" + domain);
    }

    static List<Endpoint> endpoints(final int count) {
        final List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(endpoint(i));
        }
        return endpoints;
    }

    private static Endpoint endpoint(final int number) {
        final Vm vm =
                new Vm(
                        new VmId("engine-" + (100_000 + number)),
                        "10.1." + number / 250 + "." + (number % 250 + 1),
                        domain(number),
                        "engine-large",
                        Billing.RECLAIMABLE,
                        VmState.LIVE);
        return Endpoint.engine(new EndpointId(vm.id().value()))
                .vm(vm)
                .uri(URI.create("http://" + vm.host() + ":8000"))
                .models(Set.of(MODEL))
                .slots(SLOTS)
                .build();
    }

    /** Returns a streamed request; the first half of its prompt is common to its application. */
    static RequestSpec request(final long number, final Random random) {
        final int application = random.nextInt(APPLICATIONS);
        final Random shared = new Random(application);
        final List<Long> prefixes = new ArrayList<>();
        for (int i = 0; i < PROMPT_TOKENS / BLOCK_TOKENS; i++) {
            prefixes.add(i < SHARED_PREFIX_BLOCKS ? shared.nextLong() : random.nextLong());
        }
        return RequestSpec.builder(new RequestId("daemon-17/" + number))
                .customer(new CustomerId("customer-" + application))
                .tier(TIER)
                .model(MODEL)
                .streamed(true)
                .prefixHashes(prefixes)
                .promptTokens(PROMPT_TOKENS)
                .maxTokens(MAX_TOKENS)
                .arrived(START)
                .deadline(START.plus(TIER.requestTimeout()))
                .build();
    }
}
