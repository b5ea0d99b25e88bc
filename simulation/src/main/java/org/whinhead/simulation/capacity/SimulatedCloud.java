package org.whinhead.simulation.capacity;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Endpoints with a boot time and a listing delay, which are reclaimed by failure domain. */
final class SimulatedCloud {

    static final String SERVICE = "pool";

    /** The delay after which the store shows a changed entry. */
    private static final double LISTING_DELAY_SECONDS = 0.8;

    /** The interval between writes of an entry, which spreads the listing of initial endpoints. */
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

    /** Returns the endpoints that the store lists as usable. */
    List<EndpointEntry> listedEndpoints(final double now) {
        return mInstances.stream()
                .filter(instance -> instance.mListedAt <= now)
                .filter(instance -> now < instance.mRemovalStartsAt + LISTING_DELAY_SECONDS)
                .map(instance -> instance.mEntry)
                .toList();
    }

    /** Returns the number of endpoints that are both listed and running. */
    long countServing(final double now) {
        return mInstances.stream()
                .filter(instance -> instance.mListedAt <= now)
                .filter(instance -> now < instance.mRemovalStartsAt + LISTING_DELAY_SECONDS)
                .filter(instance -> now < instance.mRemovedAt)
                .count();
    }

    /** Returns the price of all endpoints per second, relative to an on-demand one of price 1. */
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

    /** Adds or removes endpoints; returns false if reclaimable ones are unavailable. */
    boolean applyOrder(final CapacityOrder order, final double now) {
        final List<Instance> existing =
                mInstances.stream()
                        .filter(instance -> instance.mEntry.domain().equals(order.domain()))
                        .filter(instance -> instance.mEntry.reclaimable() == order.reclaimable())
                        .filter(instance -> now < instance.mRemovalStartsAt)
                        .sorted(Comparator.comparingDouble(instance -> -instance.mReadyAt))
                        .toList();
        if (order.count() > existing.size()
                && order.reclaimable()
                && now < mReclaimableUnavailableUntil) {
            return false;
        }
        for (int index = existing.size(); index < order.count(); index++) {
            add(order.domain(), order.reclaimable(), now + mDay.bootSeconds());
        }
        existing.stream()
                .limit(Math.max(existing.size() - order.count(), 0))
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

    /** An endpoint from its order to its removal. */
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
