package org.whinhead.standins.cloud;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.whinhead.api.model.FailureDomain;

/** Simulates a cloud without HTTP; not thread-safe, and callers pass the current time. */
public final class CloudSimulation {

    /**
     * An announcement that a VM will be reclaimed.
     *
     * @param sequence the notice's number, from 1
     * @param vm the VM
     * @param goneBy the time at which the VM ends
     */
    public record Notice(long sequence, String vm, Instant goneBy) {}

    private final Duration mBoot;
    private final CloudActions mActions;
    private final Map<String, Machine> mMachines = new TreeMap<>();
    private final Map<String, String> mVmsByOrder = new HashMap<>();
    private final List<Notice> mNotices = new ArrayList<>();
    private boolean mRefusesStarts;
    private int mStarted;

    /**
     * Creates a cloud without VMs.
     *
     * @param boot the time that a VM needs to start
     * @param actions the listener for VM events
     */
    public CloudSimulation(final Duration boot, final CloudActions actions) {
        mBoot = boot;
        mActions = actions;
    }

    /** Adds a VM that already runs. */
    public void addRunning(final String vm, final VmOrder order) {
        mMachines.put(vm, new Machine(order, Instant.MIN, true));
    }

    /**
     * Starts a VM, once for each order identity.
     *
     * @param order the order
     * @param now the time
     * @return the VM's identity, or empty if the cloud has no capacity
     */
    public Optional<String> start(final VmOrder order, final Instant now) {
        if (mVmsByOrder.containsKey(order.orderId())) {
            return Optional.of(mVmsByOrder.get(order.orderId()));
        }
        if (mRefusesStarts) {
            return Optional.empty();
        }
        mStarted++;
        final String vm = "vm-started-" + mStarted;
        mVmsByOrder.put(order.orderId(), vm);
        mMachines.put(vm, new Machine(order, now.plus(mBoot), false));
        return Optional.of(vm);
    }

    /** Stops a VM; nothing happens if it is unknown. */
    public void stop(final String vm) {
        if (mMachines.remove(vm) != null) {
            mActions.onGone(vm);
        }
    }

    /** Announces the reclaim of a VM; ignores on-demand VMs and VMs announced before. */
    public void reclaim(final String vm, final Duration notice, final Instant now) {
        final Machine machine = mMachines.get(vm);
        if (machine == null
                || machine.mGoneBy != null
                || !machine.mOrder.billing().isReclaimable()) {
            return;
        }
        machine.mGoneBy = now.plus(notice);
        mNotices.add(new Notice(mNotices.size() + 1L, vm, machine.mGoneBy));
        mActions.onNotice(vm, machine.mGoneBy);
    }

    /** Announces the reclaim of all reclaimable VMs of a failure domain. */
    public void reclaim(final FailureDomain domain, final Duration notice, final Instant now) {
        mMachines.forEach(
                (vm, machine) -> {
                    if (machine.mOrder.domain().equals(domain)) {
                        reclaim(vm, notice, now);
                    }
                });
    }

    /** Advances the time: starts the VMs that are due and ends the announced ones that are due. */
    public void advance(final Instant now) {
        for (final String vm : List.copyOf(mMachines.keySet())) {
            final Machine machine = mMachines.get(vm);
            if (!machine.mRunning && !machine.mStartsAt.isAfter(now)) {
                machine.mRunning = true;
                mActions.onStarted(vm, machine.mOrder);
            }
            if (machine.mGoneBy != null && !machine.mGoneBy.isAfter(now)) {
                stop(vm);
            }
        }
    }

    /**
     * Returns the reclaim notices after a sequence number.
     *
     * @param after the last sequence number received
     * @return the later notices, in order
     */
    public List<Notice> notices(final long after) {
        final int start = (int) Math.min(Math.max(after, 0), mNotices.size());
        return List.copyOf(mNotices.subList(start, mNotices.size()));
    }

    /** Fault: sets whether the cloud refuses to start VMs. */
    public void refuseStarts(final boolean refuses) {
        mRefusesStarts = refuses;
    }

    private static final class Machine {
        private final VmOrder mOrder;
        private final Instant mStartsAt;
        private boolean mRunning;
        private Instant mGoneBy;

        private Machine(final VmOrder order, final Instant startsAt, final boolean running) {
            mOrder = order;
            mStartsAt = startsAt;
            mRunning = running;
        }
    }
}
