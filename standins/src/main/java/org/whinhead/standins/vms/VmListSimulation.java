package org.whinhead.standins.vms;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A VM list without its HTTP side; single-threaded, and the time is passed in. */
public final class VmListSimulation {

    /**
     * What the list shows.
     *
     * @param asOf when it was so
     * @param vms the VMs
     */
    public record Snapshot(Instant asOf, List<VmEntry> vms) {}

    private final Duration mLag;
    private final Map<String, VmEntry> mVms = new TreeMap<>();
    private final Deque<Snapshot> mHistory = new ArrayDeque<>();
    private Instant mFrozenAt;

    /** Makes an empty list. */
    public VmListSimulation(final Duration lag) {
        mLag = lag;
        remember(Instant.MIN);
    }

    /** Shows a VM as if it had always been there. */
    public void seed(final VmEntry vm) {
        mVms.put(vm.id(), vm);
        mHistory.clear();
        remember(Instant.MIN);
    }

    /** A VM started, or changed. */
    public void put(final VmEntry vm, final Instant now) {
        mVms.put(vm.id(), vm);
        remember(now);
    }

    /** A VM was announced to stop. */
    public void markLeaving(final String id, final Instant now) {
        mVms.computeIfPresent(id, (key, vm) -> vm.asLeaving());
        remember(now);
    }

    /** A VM stopped. */
    public void remove(final String id, final Instant now) {
        mVms.remove(id);
        remember(now);
    }

    /** Fault: what the list shows stays as it is. */
    public void freeze(final boolean frozen, final Instant now) {
        mFrozenAt = frozen ? now : null;
    }

    /**
     * Returns what the list shows.
     *
     * @param now the time
     * @return the VMs as they were a lag ago
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
