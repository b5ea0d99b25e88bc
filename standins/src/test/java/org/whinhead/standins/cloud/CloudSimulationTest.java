package org.whinhead.standins.cloud;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.standins.vms.VmEntry;

final class CloudSimulationTest {

    private static final Instant NOW = Instant.parse("2026-03-02T08:00:00Z");
    private static final FailureDomain DOMAIN = new FailureDomain("kigali", "kg-gasabo");

    private final List<String> mActions = new ArrayList<>();
    private final CloudSimulation mCloud =
            new CloudSimulation(Duration.ofSeconds(20), new Recorder());

    /**
     * A whole failure domain is reclaimed while the cloud refuses to start replacements: each
     * reclaimable VM gets one notice, orders are refused, and on-demand VMs stay.
     */
    @Test
    void reclaimsWholeDomainAndRefusesStarts() {
        mCloud.addRunning("a", order("1", Billing.RECLAIMABLE));
        mCloud.addRunning("b", order("2", Billing.ON_DEMAND));
        mCloud.reclaim(DOMAIN, Duration.ofSeconds(5), NOW);
        mCloud.refuseStarts(true);
        assertThat(mCloud.start(order("3", Billing.RECLAIMABLE), NOW)).isEmpty();
        assertThat(mCloud.notices(0)).hasSize(1);
        mCloud.advance(NOW.plusMillis(4999));
        assertThat(mActions).containsExactly("notice a");
        mCloud.advance(NOW.plusSeconds(5));
        assertThat(mActions).containsExactly("notice a", "gone a");
    }

    @Test
    void sameOrderStartsOneVm() {
        final String vm = mCloud.start(order("1", Billing.RECLAIMABLE), NOW).orElseThrow();
        assertThat(mCloud.start(order("1", Billing.RECLAIMABLE), NOW)).contains(vm);
        mCloud.advance(NOW.plusSeconds(19));
        assertThat(mActions).isEmpty();
        mCloud.advance(NOW.plusSeconds(20));
        mCloud.advance(NOW.plusSeconds(21));
        assertThat(mActions).containsExactly("started " + vm);
    }

    private static VmOrder order(final String id, final Billing billing) {
        return new VmOrder(id, DOMAIN, "engine-small", billing, VmEntry.Role.ENGINE);
    }

    private final class Recorder implements CloudActions {
        @Override
        public void onStarted(final String vm, final VmOrder order) {
            mActions.add("started " + vm);
        }

        @Override
        public void onNotice(final String vm, final Instant goneBy) {
            mActions.add("notice " + vm);
        }

        @Override
        public void onGone(final String vm) {
            mActions.add("gone " + vm);
        }
    }
}
