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
    private final Map<VmId, HeartbeatHistory> mHistories = new HashMap<>();
    private final Map<VmId, Probe> mProbes = new HashMap<>();
    private long mNonce;

    FailureDetector(final MembershipSettings settings) {
        mSettings = settings;
    }

    /** Sets whom to watch; a new neighbour has the whole timeout before it. */
    void setNeighbors(final Set<VmId> neighbours, final Instant now) {
        mHistories.keySet().retainAll(neighbours);
        mProbes.keySet().retainAll(neighbours);
        for (final VmId vm : neighbours) {
            mHistories.computeIfAbsent(vm, id -> new HeartbeatHistory(mSettings, now));
        }
    }

    void recordHeartbeat(final VmId vm, final Instant now) {
        final HeartbeatHistory arrivals = mHistories.get(vm);
        if (arrivals != null) {
            arrivals.recordHeartbeat(now);
            mProbes.remove(vm);
        }
    }

    void recordMessage(final VmId vm, final Instant now) {
        final HeartbeatHistory arrivals = mHistories.get(vm);
        if (arrivals != null) {
            arrivals.recordMessage(now);
            mProbes.remove(vm);
        }
    }

    /**
     * Another daemon answered for a neighbour. Guards against a reply to an earlier probe that was
     * long on its way: it would vouch for a VM that died since.
     */
    void recordProbeReply(final VmId vm, final long nonce, final Instant now) {
        final Probe probe = mProbes.get(vm);
        if (probe != null && probe.nonce() == nonce) {
            mHistories.get(vm).recordProbeReply(now);
            mProbes.remove(vm);
        }
    }

    /**
     * Tells whether this daemon itself heard a neighbour within its timeout; false for one that is
     * not watched.
     */
    boolean hasRecentMessage(final VmId vm, final Instant now) {
        final HeartbeatHistory arrivals = mHistories.get(vm);
        return arrivals != null && arrivals.hasRecentMessage(now);
    }

    /**
     * Guards against an own pause that looks like the death of every peer: the first tick after it
     * would put all in question at once. All silences start anew then.
     */
    void resetSilences(final Instant now) {
        mHistories.values().forEach(arrivals -> arrivals.resetSilence(now));
        mProbes.clear();
    }

    /** Returns the neighbours that fell silent and must be probed now. */
    List<Probe> startProbes(final Instant now) {
        final Instant deadline = now.plus(mSettings.probeTimeout());
        final List<Probe> started = new ArrayList<>();
        mHistories.forEach(
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
