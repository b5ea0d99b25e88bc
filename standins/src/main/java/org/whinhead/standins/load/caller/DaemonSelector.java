package org.whinhead.standins.load.caller;

import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/** Selects the daemon and the backoff of the next attempt of one call. */
final class DaemonSelector {

    private static final long INITIAL_BACKOFF_MILLIS = 20;
    private static final long MAX_BACKOFF_MILLIS = 1000;
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private final AddressCache mAddressCache;
    private final SplittableRandom mRandom;
    private final Set<URI> mExcluded = new HashSet<>();
    private URI mLastSelected;
    private int mLostCount;

    /**
     * Creates the selector of one call.
     *
     * @param addressCache the address cache of the customer
     * @param seed the seed of the selection and of the backoff
     */
    DaemonSelector(final AddressCache addressCache, final long seed) {
        mAddressCache = addressCache;
        mRandom = new SplittableRandom(seed);
    }

    /** Selects a random daemon; empty if no address is known. */
    CompletableFuture<Optional<URI>> select() {
        return mAddressCache.addresses().thenCompose(this::selectOrRefresh);
    }

    /** Excludes the daemon selected last from further selections. */
    synchronized void markLost() {
        mExcluded.add(mLastSelected);
        mLostCount++;
    }

    /**
     * Returns the backoff before the next attempt: zero after the first loss, then exponential with
     * jitter.
     */
    synchronized Duration nextBackoff() {
        if (mLostCount <= 1) {
            return Duration.ZERO;
        }
        final int doublings = Math.min(mLostCount - 2, MAX_BACKOFF_DOUBLINGS);
        final long maxMillis = Math.min(INITIAL_BACKOFF_MILLIS << doublings, MAX_BACKOFF_MILLIS);
        return Duration.ofMillis(mRandom.nextLong(maxMillis / 2, maxMillis + 1));
    }

    private CompletableFuture<Optional<URI>> selectOrRefresh(final List<URI> addresses) {
        final Optional<URI> selected = selectFrom(addresses);
        if (selected.isPresent()) {
            return CompletableFuture.completedFuture(selected);
        }
        return mAddressCache.refresh().thenApply(this::selectFromAll);
    }

    private synchronized Optional<URI> selectFrom(final List<URI> addresses) {
        final List<URI> candidates =
                addresses.stream().filter(uri -> !mExcluded.contains(uri)).toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        mLastSelected = candidates.get(mRandom.nextInt(candidates.size()));
        return Optional.of(mLastSelected);
    }

    /** Clears the exclusions if no other daemon is left, because a lost one may have recovered. */
    private synchronized Optional<URI> selectFromAll(final List<URI> addresses) {
        final Optional<URI> selected = selectFrom(addresses);
        if (selected.isPresent()) {
            return selected;
        }
        mExcluded.clear();
        return selectFrom(addresses);
    }
}
