package org.whinhead.serving.quota;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.member.Member;

/** Simulates daemons that claim tokens over a network with delay, loss and partitions. */
final class SimulatedFleet {

    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    static final QuotaTolerance TOLERANCE = new QuotaTolerance(Duration.ofSeconds(8), 0.1, 72_000);

    /** The time from the start of a process until it has read the store and is up. */
    private static final Duration START_TIME = Duration.ofMillis(500);

    private static final int DOMAINS = 5;
    private static final int FIRST_PORT = 7_000;

    private final Random mRandom;
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong((Event event) -> event.mAtMicros)
                            .thenComparingLong(event -> event.mNumber));
    private final ShareTable mTable;
    private List<CustomerAccount> mCustomers;
    private long mNowMicros;
    private long mNextNumber;
    private long mMessages;
    private int mDelayMillis = 1;
    private double mLossRate;
    private boolean mAllMessagesLost;
    private boolean mPartitioned;

    SimulatedFleet(final int daemons, final List<CustomerAccount> customers, final long seed) {
        mRandom = new Random(seed);
        mCustomers = customers;
        final List<Member> members = new ArrayList<>();
        for (int index = 0; index < daemons; index++) {
            final InetSocketAddress address =
                    InetSocketAddress.createUnresolved("daemon", FIRST_PORT + index);
            final String domain = "domain-" + index * DOMAINS / daemons;
            members.add(new Member("edge-" + index, "1", domain, address, address));
        }
        mTable = ShareTable.initial(ShareHolders.interleaveDomains(members));
        members.forEach(member -> mDaemons.add(new Daemon(member.peerAddress(), 0)));
    }

    void setDelay(final int delayMillis) {
        mDelayMillis = delayMillis;
    }

    void setLossRate(final double fraction) {
        mLossRate = fraction;
    }

    void setAllMessagesLost(final boolean lost) {
        mAllMessagesLost = lost;
    }

    /** Cuts every third daemon off from the others; these daemons still reach each other. */
    void setPartitioned(final boolean partitioned) {
        mPartitioned = partitioned;
    }

    void configure(final List<CustomerAccount> customers) {
        mCustomers = customers;
        mDaemons.forEach(daemon -> daemon.mQuotas.configure(customers, now()));
    }

    /** Ends a process and starts another one at its address after a delay. */
    void restart(final int index, final Duration delay) {
        final Daemon previous = mDaemons.get(index);
        previous.mUp = false;
        scheduleIn(
                delay.toNanos() / 1_000,
                () -> start(index, new Daemon(previous.mAddress, previous.mIncarnation + 1)));
    }

    private void start(final int index, final Daemon daemon) {
        daemon.mUp = false;
        mDaemons.set(index, daemon);
        scheduleIn(START_TIME.toNanos() / 1_000, () -> daemon.mUp = daemon == mDaemons.get(index));
    }

    /** Suspends a VM: its steady clock stops and its messages wait. */
    void suspend(final int index, final Duration duration) {
        final Daemon daemon = mDaemons.get(index);
        daemon.mSuspendedUntil = mNowMicros + duration.toNanos() / 1_000;
        daemon.mSuspendedMicros += duration.toNanos() / 1_000;
    }

    boolean isUp(final int index) {
        final Daemon daemon = mDaemons.get(index);
        return daemon.mUp && daemon.mSuspendedUntil <= mNowMicros;
    }

    /** Returns the daemon that holds one of a customer's shares. */
    int holderOf(final String customer, final int share) {
        final int slot = mTable.slotOf(customer, share);
        return mTable.slots().get(slot).holder().getPort() - FIRST_PORT;
    }

    int size() {
        return mDaemons.size();
    }

    long messages() {
        return mMessages;
    }

    Random random() {
        return mRandom;
    }

    Runnable claim(
            final int index,
            final String customer,
            final long tokens,
            final TokenClaimListener listener) {
        final Daemon daemon = mDaemons.get(index);
        return daemon.mQuotas.claim(customer, tokens, daemon.now(), listener);
    }

    void refund(final int index, final TokenGrant grant) {
        mDaemons.get(index).mQuotas.refund(grant);
    }

    long millis() {
        return mNowMicros / 1_000;
    }

    private ClockReading now() {
        final Instant instant = START.plusNanos(mNowMicros * 1_000);
        return new ClockReading(instant, instant);
    }

    void at(final long atMillis, final Runnable action) {
        scheduleIn(atMillis * 1_000 - mNowMicros, action);
    }

    private void scheduleIn(final long micros, final Runnable action) {
        mEvents.add(new Event(mNowMicros + micros, mNextNumber++, action));
    }

    /** Runs all events that are due up to a time. */
    void runUntil(final long untilMillis) {
        while (!mEvents.isEmpty() && mEvents.peek().mAtMicros <= untilMillis * 1_000) {
            final Event event = mEvents.poll();
            mNowMicros = event.mAtMicros;
            event.mAction.run();
        }
        mNowMicros = untilMillis * 1_000;
    }

    private void send(final Daemon from, final Daemon to, final Runnable delivery) {
        mMessages++;
        final boolean isSevered = mPartitioned && from.isInMinority() != to.isInMinority();
        if (mAllMessagesLost || isSevered || mRandom.nextDouble() < mLossRate) {
            return;
        }
        final long micros = mDelayMillis * 500L + mRandom.nextInt(mDelayMillis * 1_000);
        scheduleIn(micros, () -> deliver(to, delivery));
    }

    private void deliver(final Daemon to, final Runnable delivery) {
        if (to.mSuspendedUntil > mNowMicros) {
            scheduleIn(to.mSuspendedUntil - mNowMicros, () -> deliver(to, delivery));
        } else if (to.mUp) {
            delivery.run();
        }
    }

    private Daemon at(final InetSocketAddress address) {
        return mDaemons.get(address.getPort() - FIRST_PORT);
    }

    private static final class Event {
        private final long mAtMicros;
        private final long mNumber;
        private final Runnable mAction;

        private Event(final long atMicros, final long number, final Runnable action) {
            mAtMicros = atMicros;
            mNumber = number;
            mAction = action;
        }
    }

    private final class Daemon implements QuotaTransport {
        private final InetSocketAddress mAddress;
        private final int mIncarnation;
        private final CustomerQuotas mQuotas;
        private boolean mUp = true;
        private long mSuspendedUntil;
        private long mSuspendedMicros;

        private Daemon(final InetSocketAddress address, final int incarnation) {
            mAddress = address;
            mIncarnation = incarnation;
            final HeldShares heldShares = new HeldShares(address, TOLERANCE, now());
            mQuotas = new CustomerQuotas(name(), heldShares, this, new Random(mRandom.nextLong()));
            mQuotas.configure(mCustomers, now());
            heldShares.updateTable(mTable, now());
        }

        private String name() {
            return mAddress.getPort() + "." + mIncarnation;
        }

        private boolean isInMinority() {
            return mAddress.getPort() % 3 == 0;
        }

        private ClockReading now() {
            final Instant instant = START.plusNanos(mNowMicros * 1_000);
            return new ClockReading(instant.minusNanos(mSuspendedMicros * 1_000), instant);
        }

        @Override
        public void sendRequest(final InetSocketAddress holder, final TokenRequest request) {
            final Daemon to = at(holder);
            send(
                    this,
                    to,
                    () -> {
                        final TokenResponse response =
                                to.mQuotas.heldShares().handleRequest(name(), request, to.now());
                        send(to, this, () -> mQuotas.handleResponse(response, now()));
                    });
        }

        @Override
        public void sendReturn(final InetSocketAddress holder, final TokenRequest request) {
            final Daemon to = at(holder);
            send(this, to, () -> to.mQuotas.heldShares().returnTokens(name(), request, to.now()));
        }

        @Override
        public void scheduleTimeoutCheck(final Duration delay) {
            scheduleIn(
                    delay.toNanos() / 1_000,
                    () -> deliver(this, () -> mQuotas.checkTimeouts(now())));
        }
    }
}
