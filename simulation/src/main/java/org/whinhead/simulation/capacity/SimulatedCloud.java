package org.whinhead.simulation.capacity;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Endpoints that start after a while, are listed late, and are taken back a domain at a time. */
final class SimulatedCloud {

    static final String SERVICE = "pool";

    /** How late the store shows what has changed, and how far apart entries are written. */
    private static final double LISTING_DELAY_SECONDS = 0.8;

    private static final double HEARTBEAT_SECONDS = 1.2;
    private static final int ENDPOINT_SLOTS = 12;
    private static final InetSocketAddress ADDRESS =
            InetSocketAddress.createUnresolved("endpoint", 1);

    private final CapacityDay mDay;
    private final Map<String, Double> mPrices;
    private final List<Instance> mInstances = new ArrayList<>();
    private double mReclaimableUnavailableUntil = Double.NEGATIVE_INFINITY;
    private int mNextId;

    SimulatedCloud(final CapacityDay day) {
        mDay = day;
        mPrices =
                day.domains().stream()
                        .collect(
                                Collectors.toMap(
                                        CapacityDay.Domain::name, CapacityDay.Domain::price));
        for (final CapacityDay.Domain domain : day.domains()) {
            addInitial(domain.name(), false, domain.onDemand());
            addInitial(domain.name(), true, domain.reclaimable());
        }
    }

    private void addInitial(final String domain, final boolean reclaimable, final int count) {
        for (int index = 0; index < count; index++) {
            final Instance instance = add(domain, reclaimable, -mDay.leadSeconds());
            instance.mListedAt +=
                    HEARTBEAT_SECONDS * (mNextId % mDay.domains().size()) / mDay.domains().size();
        }
    }

    private Instance add(final String domain, final boolean reclaimable, final double readyAt) {
        mNextId++;
        final EndpointEntry entry =
                EndpointEntry.builder("e" + mNextId, SERVICE, ADDRESS, domain)
                        .slots(ENDPOINT_SLOTS)
                        .reclaimable(reclaimable)
                        .build();
        final Instance instance = new Instance(entry, readyAt);
        mInstances.add(instance);
        return instance;
    }

    /** Lists what the store shows as usable. */
    List<EndpointEntry> listedEndpoints(final double now) {
        return mInstances.stream()
                .filter(instance -> instance.mListedAt <= now)
                .filter(instance -> now < instance.mRemovalStartsAt + LISTING_DELAY_SECONDS)
                .map(instance -> instance.mEntry)
                .toList();
    }

    /** Counts the endpoints that get work: those that are listed, while they last. */
    long countServing(final double now) {
        return mInstances.stream()
                .filter(instance -> instance.mListedAt <= now)
                .filter(instance -> now < instance.mRemovalStartsAt + LISTING_DELAY_SECONDS)
                .filter(instance -> now < instance.mRemovedAt)
                .count();
    }

    /** Sums what the endpoints cost that are paid for now, in prices of one on demand. */
    double price(final double now) {
        return mInstances.stream()
                .filter(instance -> now < instance.mRemovedAt)
                .mapToDouble(instance -> price(instance.mEntry))
                .sum();
    }

    private double price(final EndpointEntry entry) {
        final double kind = entry.reclaimable() ? mDay.reclaimablePrice() : 1;
        return kind * mPrices.get(entry.domain());
    }

    boolean applyOrder(final CapacityOrder order, final double now) {
        final List<Instance> there =
                mInstances.stream()
                        .filter(instance -> instance.mEntry.domain().equals(order.domain()))
                        .filter(instance -> instance.mEntry.reclaimable() == order.reclaimable())
                        .filter(instance -> now < instance.mRemovalStartsAt)
                        .sorted(Comparator.comparingDouble(instance -> -instance.mReadyAt))
                        .toList();
        if (order.count() > there.size()
                && order.reclaimable()
                && now < mReclaimableUnavailableUntil) {
            return false;
        }
        for (int index = there.size(); index < order.count(); index++) {
            add(order.domain(), order.reclaimable(), now + mDay.bootSeconds());
        }
        there.stream()
                .limit(Math.max(there.size() - order.count(), 0))
                .forEach(instance -> instance.scheduleRemoval(now, LISTING_DELAY_SECONDS));
        return true;
    }

    void reclaim(final CapacityDay.Reclaim reclaim) {
        mReclaimableUnavailableUntil =
                Math.max(mReclaimableUnavailableUntil, reclaim.at() + reclaim.drySeconds());
        mInstances.stream()
                .filter(instance -> instance.mEntry.domain().equals(reclaim.domain()))
                .filter(instance -> instance.mEntry.reclaimable())
                .filter(instance -> reclaim.at() < instance.mRemovalStartsAt)
                .forEach(
                        instance ->
                                instance.scheduleRemoval(reclaim.at(), reclaim.noticeSeconds()));
    }

    /** One endpoint from its order to its end. */
    private static final class Instance {
        private final EndpointEntry mEntry;
        private final double mReadyAt;
        private double mListedAt;
        private double mRemovalStartsAt = Double.POSITIVE_INFINITY;
        private double mRemovedAt = Double.POSITIVE_INFINITY;

        private Instance(final EndpointEntry entry, final double readyAt) {
            mEntry = entry;
            mReadyAt = readyAt;
            mListedAt = readyAt + LISTING_DELAY_SECONDS;
        }

        private void scheduleRemoval(final double at, final double notice) {
            mRemovalStartsAt = at;
            mRemovedAt = at + notice;
        }
    }
}
