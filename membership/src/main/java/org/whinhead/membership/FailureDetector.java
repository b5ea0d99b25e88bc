package org.whinhead.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinhead.api.model.VmId;

/** Detects silent neighbors of one daemon, which are probed before they are suspected. */
final class FailureDetector {

    private final MembershipSettings mSettings;
    private final Map<VmId, HeartbeatHistory> mHistories = new HashMap<>();
    private final Map<VmId, Probe> mProbes = new HashMap<>();
    private long mNonce;

    FailureDetector(final MembershipSettings settings) {
        mSettings = settings;
    }

    /** Sets the neighbors to watch; the timeout of a new neighbor starts now. */
    void setNeighbors(final Set<VmId> neighbors, final Instant now) {
        mHistories.keySet().retainAll(neighbors);
        mProbes.keySet().retainAll(neighbors);
        for (final VmId vm : neighbors) {
            mHistories.computeIfAbsent(vm, id -> new HeartbeatHistory(mSettings, now));
        }
    }

    void recordHeartbeat(final VmId vm, final Instant now) {
        final HeartbeatHistory history = mHistories.get(vm);
        if (history != null) {
            history.recordHeartbeat(now);
            mProbes.remove(vm);
        }
    }

    void recordMessage(final VmId vm, final Instant now) {
        final HeartbeatHistory history = mHistories.get(vm);
        if (history != null) {
            history.recordMessage(now);
            mProbes.remove(vm);
        }
    }

    /**
     * Records another daemon's confirmation that a neighbor is live. A reply to an earlier probe is
     * ignored, because the VM may have died since.
     */
    void recordProbeReply(final VmId vm, final long nonce, final Instant now) {
        final Probe probe = mProbes.get(vm);
        if (probe != null && probe.nonce() == nonce) {
            mHistories.get(vm).recordProbeReply(now);
            mProbes.remove(vm);
        }
    }

    /**
     * Returns whether a message from the neighbor itself arrived within its timeout; false for a VM
     * that is not watched.
     */
    boolean hasRecentMessage(final VmId vm, final Instant now) {
        final HeartbeatHistory history = mHistories.get(vm);
        return history != null && history.hasRecentMessage(now);
    }

    /**
     * Restarts all timeouts and discards all probes. Called after a pause of the own process, when
     * every neighbor looks silent and would be probed at once.
     */
    void resetSilences(final Instant now) {
        mHistories.values().forEach(history -> history.resetSilence(now));
        mProbes.clear();
    }

    /** Starts and returns a probe for each silent neighbor that has none in progress. */
    List<Probe> startProbes(final Instant now) {
        final Instant deadline = now.plus(mSettings.probeTimeout());
        final List<Probe> started = new ArrayList<>();
        mHistories.forEach(
                (vm, history) -> {
                    if (history.isSilent(now) && !mProbes.containsKey(vm)) {
                        started.add(new Probe(vm, ++mNonce, deadline));
                    }
                });
        started.forEach(probe -> mProbes.put(probe.target(), probe));
        return started;
    }

    /** Removes the probes whose deadline has passed and returns their targets. */
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

    /** A probe of a silent neighbor. */
    record Probe(VmId target, long nonce, Instant deadline) {}
}
