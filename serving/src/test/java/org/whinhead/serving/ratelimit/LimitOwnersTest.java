package org.whinhead.serving.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LimitOwnersTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static List<InetSocketAddress> daemons(final int count) {
        final List<InetSocketAddress> daemons = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            daemons.add(InetSocketAddress.createUnresolved("10.0.0." + number, 7_600));
        }
        return daemons;
    }

    private static LimitOwners owners(final InetSocketAddress self, final int count) {
        final LimitOwners owners = new LimitOwners(self);
        owners.setDaemons(Set.copyOf(daemons(count)), count);
        return owners;
    }

    @Test
    void allDaemonsNameSameOwner() {
        for (int endpoint = 0; endpoint < 50; endpoint++) {
            final String id = "e-" + endpoint;
            final InetSocketAddress owner = owners(daemons(8).get(0), 8).owner(id, NOW);
            for (final InetSocketAddress daemon : daemons(8)) {
                assertThat(owners(daemon, 8).owner(id, NOW)).isEqualTo(owner);
            }
        }
    }

    @Test
    void limitsAreSpreadOverDaemons() {
        final LimitOwners owners = owners(daemons(8).get(0), 8);
        final Map<InetSocketAddress, Integer> counts = new HashMap<>();
        for (int endpoint = 0; endpoint < 1_800; endpoint++) {
            counts.merge(owners.owner("e-" + endpoint, NOW), 1, Integer::sum);
        }
        assertThat(counts).hasSize(8);
        assertThat(counts.values()).allMatch(count -> count > 150 && count < 300);
    }

    @Test
    void onlyLimitsOfLostDaemonGetAnotherOwner() {
        final LimitOwners before = owners(daemons(8).get(0), 8);
        final LimitOwners after = owners(daemons(8).get(0), 7);
        final InetSocketAddress lost = daemons(8).get(7);
        for (int endpoint = 0; endpoint < 200; endpoint++) {
            final InetSocketAddress owner = before.owner("e-" + endpoint, NOW);
            if (!owner.equals(lost)) {
                assertThat(after.owner("e-" + endpoint, NOW)).isEqualTo(owner);
            }
        }
    }

    @Test
    void daemonThatDoesNotRespondOwnsNothingForWhile() {
        final LimitOwners owners = owners(daemons(8).get(0), 8);
        final InetSocketAddress owner = owners.owner("e-1", NOW);
        owners.recordUnreachable(owner, NOW.plusSeconds(2));
        assertThat(owners.owner("e-1", NOW)).isNotEqualTo(owner);
        assertThat(owners.owner("e-1", NOW.plusSeconds(2))).isEqualTo(owner);
    }

    // Guards against daemons that are cut into two parts, each of which uses the whole limit.
    @Test
    void sharesOfBothPartsOfCutAddUpToLimit() {
        final LimitOwners large = new LimitOwners(daemons(8).get(0));
        large.setDaemons(Set.copyOf(daemons(5)), 8);
        final LimitOwners small = new LimitOwners(daemons(8).get(5));
        small.setDaemons(Set.copyOf(daemons(8).subList(5, 8)), 8);
        assertThat(large.share() + small.share()).isEqualTo(1);
    }

    @Test
    void shareIsNeverAboveWhole() {
        final LimitOwners owners = new LimitOwners(daemons(8).get(0));
        owners.setDaemons(Set.copyOf(daemons(8)), 3);
        assertThat(owners.share()).isEqualTo(1);
    }
}
