package org.whinhead.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;

class WatchPlanTest {

    private static final int DOMAINS = 9;

    @Test
    void planIsBoundedAtTwoYearSizeAndEachWatchedEndpointIsPolledTwice() {
        final List<DaemonLocation> daemons = daemons(330);
        final List<Endpoint> endpoints = endpoints(1800);
        final Map<EndpointId, Integer> polls = new HashMap<>();
        WatchPlan last = null;
        for (final DaemonLocation daemon : daemons) {
            if (!daemon.domain().equals(domain(0))) {
                continue;
            }
            final WatchPlan plan =
                    WatchPlan.of(daemon, daemons, endpoints, WatchPlan.Limits.DEFAULT);
            assertThat(plan.watched()).hasSize(256);
            assertThat(plan.peers()).hasSize(36);
            assertThat(plan.polled()).hasSizeLessThan(40);
            plan.polled().forEach(id -> polls.merge(id, 1, Integer::sum));
            assertThat(last == null || last.watched().equals(plan.watched())).isTrue();
            last = plan;
        }
        assertThat(polls).hasSize(256).allSatisfy((id, count) -> assertThat(count).isEqualTo(2));
    }

    // If only an engine of a far region serves a model, a daemon that watched only its own domain
    // would refuse requests for the model although that engine is idle.
    @Test
    void watchesModelThatOnlyFarEndpointsServe() {
        final List<Endpoint> endpoints = endpoints(1800);
        final ModelRef rare = ModelRef.of("rare", "1");
        final Endpoint far = endpoints.get(8).toBuilder().models(Set.of(rare)).build();
        endpoints.set(8, far);
        final WatchPlan plan =
                WatchPlan.of(daemons(1).get(0), daemons(330), endpoints, WatchPlan.Limits.DEFAULT);
        assertThat(plan.watched()).contains(far);
    }

    private static List<DaemonLocation> daemons(final int count) {
        final List<DaemonLocation> daemons = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            daemons.add(new DaemonLocation(new DaemonId("d" + i), domain(i)));
        }
        return daemons;
    }

    private static List<Endpoint> endpoints(final int count) {
        final List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(Fixtures.engine(i, domain(i)));
        }
        return endpoints;
    }

    private static FailureDomain domain(final int number) {
        final int domain = number % DOMAINS;
        return new FailureDomain("region" + domain / 3, "domain" + domain);
    }
}
