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
final class DaemonChoice {

    private static final long FIRST_PAUSE_MILLIS = 20;
    private static final long LONGEST_PAUSE_MILLIS = 1000;
    private static final int MOST_DOUBLINGS = 6;

    private final AddressBook mBook;
    private final SplittableRandom mRandom;
    private final Set<URI> mAvoided = new HashSet<>();
    private URI mLast;
    private int mLostDaemons;

    /**
     * Makes the choice of one call.
     *
     * @param book the customer's addresses
     * @param seed the seed of each choice
     */
    DaemonChoice(final AddressBook book, final long seed) {
        mBook = book;
        mRandom = new SplittableRandom(seed);
    }

    /** Chooses a daemon; empty if no address is known. */
    CompletableFuture<Optional<URI>> next() {
        return mBook.addresses().thenCompose(this::chooseOrAsk);
    }

    /** Notes that the daemon chosen last was lost, so that another one is taken. */
    synchronized void lost() {
        mAvoided.add(mLast);
        mLostDaemons++;
    }

    /** Returns the pause before the next try: none after the first loss, then longer and longer. */
    synchronized Duration pause() {
        if (mLostDaemons <= 1) {
            return Duration.ZERO;
        }
        final int doublings = Math.min(mLostDaemons - 2, MOST_DOUBLINGS);
        final long most = Math.min(FIRST_PAUSE_MILLIS << doublings, LONGEST_PAUSE_MILLIS);
        return Duration.ofMillis(mRandom.nextLong(most / 2, most + 1));
    }

    private CompletableFuture<Optional<URI>> chooseOrAsk(final List<URI> known) {
        final Optional<URI> choice = choose(known);
        if (choice.isPresent()) {
            return CompletableFuture.completedFuture(choice);
        }
        return mBook.askAgain().thenApply(this::chooseAny);
    }

    private synchronized Optional<URI> choose(final List<URI> known) {
        final List<URI> open = known.stream().filter(uri -> !mAvoided.contains(uri)).toList();
        if (open.isEmpty()) {
            return Optional.empty();
        }
        mLast = open.get(mRandom.nextInt(open.size()));
        return Optional.of(mLast);
    }

    /** Forgets what was avoided if nothing else is left: a daemon may be back by then. */
    private synchronized Optional<URI> chooseAny(final List<URI> known) {
        final Optional<URI> choice = choose(known);
        if (choice.isPresent()) {
            return choice;
        }
        mAvoided.clear();
        return choose(known);
    }
}
