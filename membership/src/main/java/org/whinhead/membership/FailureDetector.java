package org.whinhead.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinhead.api.model.VmId;

/** Watches the neighbours of one daemon; a silent one is asked for before it becomes suspect. */
final class FailureDetector {

    private final MembershipSettings mSettings;
    private final Map<VmId, Arrivals> mArrivals = new HashMap<>();
    private final Map<VmId, Probe> mProbes = new HashMap<>();
    private long mNonce;

    FailureDetector(final MembershipSettings settings) {
        mSettings = settings;
    }

    /** Sets whom to watch; a new neighbour has the whole timeout before it. */
    void watch(final Set<VmId> neighbours, final Instant now) {
        mArrivals.keySet().retainAll(neighbours);
        mProbes.keySet().retainAll(neighbours);
        for (final VmId vm : neighbours) {
            mArrivals.computeIfAbsent(vm, id -> new Arrivals(mSettings, now));
        }
    }

    void heartbeat(final VmId vm, final Instant now) {
        final Arrivals arrivals = mArrivals.get(vm);
        if (arrivals != null) {
            arrivals.heartbeat(now);
            mProbes.remove(vm);
        }
    }

    void sign(final VmId vm, final Instant now) {
        final Arrivals arrivals = mArrivals.get(vm);
        if (arrivals != null) {
            arrivals.sign(now);
            mProbes.remove(vm);
        }
    }

    /**
     * Another daemon answered for a neighbour. Guards against a reply to an earlier probe that was
     * long on its way: it would vouch for a VM that died since.
     */
    void answered(final VmId vm, final long nonce, final Instant now) {
        final Probe probe = mProbes.get(vm);
        if (probe != null && probe.nonce() == nonce) {
            mArrivals.get(vm).vouched(now);
            mProbes.remove(vm);
        }
    }

    /**
     * Tells whether this daemon itself heard a neighbour within its timeout; false for one that is
     * not watched.
     */
    boolean isHeard(final VmId vm, final Instant now) {
        final Arrivals arrivals = mArrivals.get(vm);
        return arrivals != null && arrivals.isHeard(now);
    }

    /**
     * Guards against an own pause that looks like the death of every peer: the first tick after it
     * would put all in question at once. All silences start anew then.
     */
    void forgiveAll(final Instant now) {
        mArrivals.values().forEach(arrivals -> arrivals.forgive(now));
        mProbes.clear();
    }

    /** Returns the neighbours that fell silent and must be probed now. */
    List<Probe> startProbes(final Instant now) {
        final Instant deadline = now.plus(mSettings.probeTimeout());
        final List<Probe> started = new ArrayList<>();
        mArrivals.forEach(
                (vm, arrivals) -> {
                    if (arrivals.isSilent(now) && !mProbes.containsKey(vm)) {
                        started.add(new Probe(vm, ++mNonce, deadline));
                    }
                });
        started.forEach(probe -> mProbes.put(probe.target(), probe));
        return started;
    }

    /** Returns the neighbours for whose life nobody answered in time. */
    List<VmId> takeUnanswered(final Instant now) {
        final List<VmId> unanswered = new ArrayList<>();
        final Iterator<Map.Entry<VmId, Probe>> probes = mProbes.entrySet().iterator();
        while (probes.hasNext()) {
            final Map.Entry<VmId, Probe> probe = probes.next();
            if (!now.isBefore(probe.getValue().deadline())) {
                unanswered.add(probe.getKey());
                probes.remove();
            }
        }
        return unanswered;
    }

    /** One question after a silent neighbour. */
    record Probe(VmId target, long nonce, Instant deadline) {}
}
