package org.whinhead.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

/** Builds membership views from the VM registry. */
final class ViewBuilder {

    /** A region counts as partitioned when this share (0 to 1) of its daemons is suspect. */
    private static final double PARTITION_SUSPECT_SHARE = 0.75;

    private static final int PARTITION_MIN_SUSPECTS = 2;

    private final DaemonMember mSelf;
    private final VmRegistry mRegistry;
    private final Duration mRecentMessageAge;
    private long mVersion;

    ViewBuilder(
            final DaemonMember self, final VmRegistry registry, final Duration recentMessageAge) {
        mSelf = self;
        mRegistry = registry;
        mRecentMessageAge = recentMessageAge;
    }

    MembershipView build(final Instant now) {
        mVersion++;
        final Set<String> partitioned = findPartitionedRegions();
        final Map<VmId, DaemonMember> daemons = new HashMap<>();
        for (final DaemonMember member : mRegistry.daemons().values()) {
            daemons.put(member.id(), member.withState(stateInView(member, partitioned, now)));
        }
        final Map<EndpointId, Endpoint> endpoints = new HashMap<>();
        for (final Endpoint endpoint : mRegistry.endpoints().values()) {
            final VmState state = mRegistry.state(endpoint.vm().id());
            final boolean same = endpoint.vm().state() == state;
            endpoints.put(endpoint.id(), same ? endpoint : endpoint.withVmState(state));
        }
        return new MembershipView(mVersion, mSelf.vm().domain(), daemons, endpoints);
    }

    /**
     * Returns a daemon's state for the view. In a partitioned region, a live daemon from which no
     * recent message arrived counts as suspect: all its observers may be on the other side of the
     * partition, so nobody here would suspect it, and callers would be directed to it.
     */
    private VmState stateInView(
            final DaemonMember member, final Set<String> partitioned, final Instant now) {
        final VmFacts facts = mRegistry.facts(member.id());
        final VmState state = facts.state();
        final boolean inferredSuspect =
                state == VmState.LIVE
                        && partitioned.contains(member.vm().domain().region())
                        && !facts.hasMessageSince(now.minus(mRecentMessageAge));
        return inferredSuspect ? VmState.SUSPECT : state;
    }

    private Set<String> findPartitionedRegions() {
        final Map<String, Integer> live = new HashMap<>();
        final Map<String, Integer> suspect = new HashMap<>();
        final String ownRegion = mSelf.vm().domain().region();
        for (final DaemonMember member : mRegistry.daemons().values()) {
            final String region = member.vm().domain().region();
            final VmState state = mRegistry.state(member.id());
            if (region.equals(ownRegion)) {
                continue;
            }
            if (state == VmState.LIVE) {
                live.merge(region, 1, Integer::sum);
            } else if (state == VmState.SUSPECT) {
                suspect.merge(region, 1, Integer::sum);
            }
        }
        final Set<String> partitioned = new HashSet<>();
        suspect.forEach(
                (region, count) -> {
                    final int all = count + live.getOrDefault(region, 0);
                    if (count >= PARTITION_MIN_SUSPECTS && count >= PARTITION_SUSPECT_SHARE * all) {
                        partitioned.add(region);
                    }
                });
        return partitioned;
    }
}
