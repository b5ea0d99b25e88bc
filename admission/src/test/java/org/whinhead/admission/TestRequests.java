package org.whinhead.admission;

import java.time.Duration;
import java.time.Instant;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Tier;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;

/** Creates requests for the tests of this module. */
final class TestRequests {
    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    static final Tier URGENT = tier("urgent", 2);
    static final Tier BATCH = tier("batch", 0);

    private static long sNextId;

    private TestRequests() {}

    static RequestSpec of(final String customer, final Tier tier, final Instant arrived) {
        return RequestSpec.builder(new RequestId("r" + sNextId++))
                .customer(new CustomerId(customer))
                .tier(tier)
                .model(ModelRef.of("m", "1"))
                .promptTokens(100)
                .maxTokens(100)
                .arrived(arrived)
                .deadline(arrived.plus(tier.requestTimeout()))
                .build();
    }

    private static Tier tier(final String name, final int priority) {
        return new Tier(
                name,
                priority,
                Duration.ofSeconds(2),
                Duration.ofMillis(100),
                Duration.ofSeconds(60));
    }
}
