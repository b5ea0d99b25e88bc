package org.whinhead.standins.load.caller;

import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/** Which daemon one call tries next, and how long it waits before that. */
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
     * Makes the choice of one call.
     *
     * @param book the customer's addresses
     * @param seed the seed of each choice
     */
    DaemonSelector(final AddressCache book, final long seed) {
        mAddressCache = book;
        mRandom = new SplittableRandom(seed);
    }

    /** Chooses a daemon; empty if no address is known. */
    CompletableFuture<Optional<URI>> select() {
        return mAddressCache.addresses().thenCompose(this::selectOrRefresh);
    }

    /** Notes that the daemon chosen last was lost, so that another one is taken. */
    synchronized void markLost() {
        mExcluded.add(mLastSelected);
        mLostCount++;
    }

    /** Returns the pause before the next try: none after the first loss, then longer and longer. */
    synchronized Duration nextBackoff() {
        if (mLostCount <= 1) {
            return Duration.ZERO;
        }
        final int doublings = Math.min(mLostCount - 2, MAX_BACKOFF_DOUBLINGS);
        final long most = Math.min(INITIAL_BACKOFF_MILLIS << doublings, MAX_BACKOFF_MILLIS);
        return Duration.ofMillis(mRandom.nextLong(most / 2, most + 1));
    }

    private CompletableFuture<Optional<URI>> selectOrRefresh(final List<URI> known) {
        final Optional<URI> choice = selectFrom(known);
        if (choice.isPresent()) {
            return CompletableFuture.completedFuture(choice);
        }
        return mAddressCache.refresh().thenApply(this::selectFromAll);
    }

    private synchronized Optional<URI> selectFrom(final List<URI> known) {
        final List<URI> open = known.stream().filter(uri -> !mExcluded.contains(uri)).toList();
        if (open.isEmpty()) {
            return Optional.empty();
        }
        mLastSelected = open.get(mRandom.nextInt(open.size()));
        return Optional.of(mLastSelected);
    }

    /** Forgets what was avoided if nothing else is left: a daemon may be back by then. */
    private synchronized Optional<URI> selectFromAll(final List<URI> known) {
        final Optional<URI> choice = selectFrom(known);
        if (choice.isPresent()) {
            return choice;
        }
        mExcluded.clear();
        return selectFrom(known);
    }
}
