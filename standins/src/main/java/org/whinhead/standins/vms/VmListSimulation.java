package org.whinhead.standins.vms;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Simulates a VM list without HTTP; not thread-safe, and callers pass the current time. */
public final class VmListSimulation {

    /**
     * The state of the list at a time.
     *
     * @param asOf the time of the state
     * @param vms the VMs
     */
    public record Snapshot(Instant asOf, List<VmEntry> vms) {}

    private final Duration mLag;
    private final Map<String, VmEntry> mVms = new TreeMap<>();
    private final Deque<Snapshot> mHistory = new ArrayDeque<>();
    private Instant mFrozenAt;

    /** Creates an empty list. */
    public VmListSimulation(final Duration lag) {
        mLag = lag;
        remember(Instant.MIN);
    }

    /** Adds a VM without a lag, and deletes the history of the list. */
    public void seed(final VmEntry vm) {
        mVms.put(vm.id(), vm);
        mHistory.clear();
        remember(Instant.MIN);
    }

    /** Adds or replaces a VM. */
    public void put(final VmEntry vm, final Instant now) {
        mVms.put(vm.id(), vm);
        remember(now);
    }

    /** Marks a VM as leaving; ignores an unknown one. */
    public void markLeaving(final String id, final Instant now) {
        mVms.computeIfPresent(id, (key, vm) -> vm.asLeaving());
        remember(now);
    }

    /** Removes a VM. */
    public void remove(final String id, final Instant now) {
        mVms.remove(id);
        remember(now);
    }

    /** Fault: sets whether the returned list stops changing. */
    public void freeze(final boolean frozen, final Instant now) {
        mFrozenAt = frozen ? now : null;
    }

    /**
     * Returns the list as it was before the lag.
     *
     * @param now the time
     * @return the snapshot of that time
     */
    public Snapshot list(final Instant now) {
        final Instant asOf = (mFrozenAt == null ? now : mFrozenAt).minus(mLag);
        Snapshot shown = mHistory.getFirst();
        for (final Snapshot snapshot : mHistory) {
            if (!snapshot.asOf().isAfter(asOf)) {
                shown = snapshot;
            }
        }
        if (mFrozenAt == null) {
            while (mHistory.getFirst() != shown) {
                mHistory.removeFirst();
            }
        }
        return new Snapshot(asOf, shown.vms());
    }

    private void remember(final Instant at) {
        mHistory.add(new Snapshot(at, List.copyOf(mVms.values())));
    }
}
