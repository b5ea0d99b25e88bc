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

/** Daemons that ask each other for tokens over a network that delays, loses and cuts. */
final class SimulatedFleet {

    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    static final QuotaTolerance TOLERANCE = new QuotaTolerance(Duration.ofSeconds(8), 0.1, 72_000);

    /** From the beginning of a process to its first request: it reads the store meanwhile. */
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

    void setDelay(final int millis) {
        mDelayMillis = millis;
    }

    void setLossRate(final double part) {
        mLossRate = part;
    }

    void setAllMessagesLost(final boolean silent) {
        mAllMessagesLost = silent;
    }

    /** Cuts every third daemon off from the others; they still reach each other. */
    void setPartitioned(final boolean cut) {
        mPartitioned = cut;
    }

    void configure(final List<CustomerAccount> customers) {
        mCustomers = customers;
        mDaemons.forEach(daemon -> daemon.mQuotas.configure(customers, now()));
    }

    /**
     * Ends a process; another one starts at its address after a while, and serves when it is up.
     */
    void restart(final int index, final Duration after) {
        final Daemon before = mDaemons.get(index);
        before.mUp = false;
        scheduleIn(
                after.toNanos() / 1_000,
                () -> start(index, new Daemon(before.mAddress, before.mIncarnation + 1)));
    }

    private void start(final int index, final Daemon daemon) {
        daemon.mUp = false;
        mDaemons.set(index, daemon);
        scheduleIn(START_TIME.toNanos() / 1_000, () -> daemon.mUp = daemon == mDaemons.get(index));
    }

    /** Suspends a VM: its steady clock stands still and its messages wait. */
    void suspend(final int index, final Duration time) {
        final Daemon daemon = mDaemons.get(index);
        daemon.mSuspendedUntil = mNowMicros + time.toNanos() / 1_000;
        daemon.mSuspendedMicros += time.toNanos() / 1_000;
    }

    boolean isUp(final int index) {
        final Daemon daemon = mDaemons.get(index);
        return daemon.mUp && daemon.mSuspendedUntil <= mNowMicros;
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
            final TokenClaimListener outcome) {
        final Daemon daemon = mDaemons.get(index);
        return daemon.mQuotas.claim(customer, tokens, daemon.now(), outcome);
    }

    void refund(final int index, final TokenGrant spend) {
        mDaemons.get(index).mQuotas.refund(spend);
    }

    long millis() {
        return mNowMicros / 1_000;
    }

    private ClockReading now() {
        final Instant instant = START.plusNanos(mNowMicros * 1_000);
        return new ClockReading(instant, instant);
    }

    void at(final long millis, final Runnable step) {
        scheduleIn(millis * 1_000 - mNowMicros, step);
    }

    private void scheduleIn(final long micros, final Runnable step) {
        mEvents.add(new Event(mNowMicros + micros, mNextNumber++, step));
    }

    /** Lets everything happen that is due up to a time. */
    void runUntil(final long millis) {
        while (!mEvents.isEmpty() && mEvents.peek().mAtMicros <= millis * 1_000) {
            final Event event = mEvents.poll();
            mNowMicros = event.mAtMicros;
            event.mStep.run();
        }
        mNowMicros = millis * 1_000;
    }

    private void send(final Daemon from, final Daemon to, final Runnable arrival) {
        mMessages++;
        final boolean severed = mPartitioned && from.isInMinority() != to.isInMinority();
        if (mAllMessagesLost || severed || mRandom.nextDouble() < mLossRate) {
            return;
        }
        final long micros = mDelayMillis * 500L + mRandom.nextInt(mDelayMillis * 1_000);
        scheduleIn(micros, () -> deliver(to, arrival));
    }

    private void deliver(final Daemon to, final Runnable arrival) {
        if (to.mSuspendedUntil > mNowMicros) {
            scheduleIn(to.mSuspendedUntil - mNowMicros, () -> deliver(to, arrival));
        } else if (to.mUp) {
            arrival.run();
        }
    }

    private Daemon at(final InetSocketAddress address) {
        return mDaemons.get(address.getPort() - FIRST_PORT);
    }

    private static final class Event {
        private final long mAtMicros;
        private final long mNumber;
        private final Runnable mStep;

        private Event(final long atMicros, final long number, final Runnable step) {
            mAtMicros = atMicros;
            mNumber = number;
            mStep = step;
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
            final HeldShares held = new HeldShares(address, TOLERANCE, now());
            mQuotas = new CustomerQuotas(name(), held, this, new Random(mRandom.nextLong()));
            mQuotas.configure(mCustomers, now());
            held.updateTable(mTable, now());
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
        public void sendRequest(final InetSocketAddress holder, final TokenRequest ask) {
            final Daemon to = at(holder);
            send(
                    this,
                    to,
                    () -> {
                        final TokenResponse answer =
                                to.mQuotas.heldShares().handleRequest(name(), ask, to.now());
                        send(to, this, () -> mQuotas.handleResponse(answer, now()));
                    });
        }

        @Override
        public void sendReturn(final InetSocketAddress holder, final TokenRequest ask) {
            final Daemon to = at(holder);
            send(this, to, () -> to.mQuotas.heldShares().returnTokens(name(), ask, to.now()));
        }

        @Override
        public void scheduleTimeoutCheck(final Duration delay) {
            scheduleIn(
                    delay.toNanos() / 1_000,
                    () -> deliver(this, () -> mQuotas.checkTimeouts(now())));
        }
    }
}
