package org.whinhead.serving.member;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Which daemons are up, and which of them callers should use. */
public final class MemberTable {

    /** The shortest interval of the reports of one daemon to another. */
    private static final Duration MIN_REPORT_INTERVAL = Duration.ofMillis(200);

    /** What each daemon adds to the interval: about 45 reports a second arrive at each. */
    private static final Duration REPORT_INTERVAL_PER_DAEMON = Duration.ofMillis(22);

    /** Reports that are missed before a daemon counts as silent. */
    private static final int MAX_MISSED_REPORTS = 3;

    /** The least time before a daemon counts as silent, which gets no new callers then. */
    static final Duration MIN_SILENCE_TIMEOUT = Duration.ofMillis(900);

    /** A daemon that was not heard for this long is forgotten. */
    static final Duration EXPIRY_TIME = Duration.ofSeconds(30);

    /** Fewer daemons than this in a failure domain are joined by those of other ones. */
    private static final int MIN_DOMAIN_ADDRESSES = 2;

    /** The most addresses that a caller is given; callers use no more. */
    private static final int MAX_ADDRESSES = 64;

    private final Member mSelf;
    private final Map<String, PeerState> mPeers = new HashMap<>();
    private Duration mReportInterval = MIN_REPORT_INTERVAL;
    private Duration mSilenceTimeout = MIN_SILENCE_TIMEOUT;
    private long mAddressChanges;
    private boolean mSelfReady;

    /**
     * Makes a table that knows this daemon only.
     *
     * @param self this daemon
     */
    public MemberTable(final Member self) {
        mSelf = self;
    }

    public Member self() {
        return mSelf;
    }

    /**
     * Sets whether this daemon takes callers.
     *
     * @param ready whether it does
     */
    public void setSelfReady(final boolean ready) {
        mSelfReady = ready;
    }

    public boolean isSelfReady() {
        return mSelfReady;
    }

    /**
     * Notes a report of another daemon.
     *
     * @param member the daemon
     * @param ready whether it takes callers
     * @param leaving whether it is about to stop
     * @param now the time
     * @return the incarnation that this one replaces, if the daemon was restarted
     */
    public Optional<String> recordReport(
            final Member member, final boolean ready, final boolean leaving, final Instant now) {
        if (member.name().equals(mSelf.name())) {
            return Optional.empty();
        }
        final PeerState before =
                mPeers.put(member.name(), new PeerState(member, ready && !leaving, leaving, now));
        if (before == null || !before.mMember.peerAddress().equals(member.peerAddress())) {
            recordPeersChanged();
        }
        if (before == null || before.mMember.incarnation().equals(member.incarnation())) {
            return Optional.empty();
        }
        return Optional.of(before.mMember.incarnation());
    }

    /**
     * Forgets daemons that fell silent long ago.
     *
     * @param now the time
     */
    public void expire(final Instant now) {
        if (mPeers.values().removeIf(seen -> now.isAfter(seen.mReportedAt.plus(EXPIRY_TIME)))) {
            recordPeersChanged();
        }
    }

    /**
     * Works out what depends on the number of daemons only. It is asked for each daemon many times
     * a second: at 85 daemons that took a twentieth of a daemon's time.
     */
    private void recordPeersChanged() {
        mAddressChanges++;
        final Duration grown = REPORT_INTERVAL_PER_DAEMON.multipliedBy(knownCount());
        mReportInterval = grown.compareTo(MIN_REPORT_INTERVAL) > 0 ? grown : MIN_REPORT_INTERVAL;
        final Duration missed = mReportInterval.multipliedBy(MAX_MISSED_REPORTS);
        mSilenceTimeout = missed.compareTo(MIN_SILENCE_TIMEOUT) > 0 ? missed : MIN_SILENCE_TIMEOUT;
    }

    /**
     * Counts how often the addresses of the other daemons have changed.
     *
     * @return a number that grows with each change
     */
    public long addressChangeCount() {
        return mAddressChanges;
    }

    /**
     * Lists the other daemons, silent ones too.
     *
     * @return the daemons
     */
    public Collection<Member> peers() {
        return mPeers.values().stream().map(seen -> seen.mMember).toList();
    }

    /**
     * Lists the daemons that fell silent and whose load no longer counts.
     *
     * @param now the time
     * @return their names
     */
    public List<String> silentMemberNames(final Instant now) {
        return mPeers.values().stream()
                .filter(seen -> !isUp(seen, now))
                .map(seen -> seen.mMember.name())
                .toList();
    }

    /**
     * Ranks this daemon among those that are up, by name: a few that come first do for all what
     * need not be done by each. Daemons that see each other differently may share a rank for a
     * while.
     *
     * @param now the time
     * @return how many come before this daemon
     */
    public int rank(final Instant now) {
        int before = 0;
        for (final PeerState seen : mPeers.values()) {
            if (seen.mMember.name().compareTo(mSelf.name()) < 0 && isUp(seen, now)) {
                before++;
            }
        }
        return before;
    }

    /**
     * Counts the daemons that are up.
     *
     * @param now the time
     * @return the number, this daemon included
     */
    public int upCount(final Instant now) {
        return 1 + (int) mPeers.values().stream().filter(seen -> isUp(seen, now)).count();
    }

    /**
     * Tells how long the interval of reports is, which grows with the number of daemons.
     *
     * @return the interval
     */
    public Duration reportInterval() {
        return mReportInterval;
    }

    private boolean isUp(final PeerState seen, final Instant now) {
        return !seen.mLeaving && !now.isAfter(seen.mReportedAt.plus(mSilenceTimeout));
    }

    /**
     * Counts the daemons heard of lately, also those that may be cut off from this one.
     *
     * @return the number, this daemon included
     */
    public int knownCount() {
        return 1 + mPeers.size();
    }

    /**
     * Lists the addresses that a caller should use: those of its own failure domain first.
     *
     * @param domain the caller's failure domain
     * @param now the time
     * @return the addresses; empty if no daemon takes callers
     */
    public List<InetSocketAddress> addressesFor(final String domain, final Instant now) {
        final List<Member> ready = new ArrayList<>();
        if (mSelfReady) {
            ready.add(mSelf);
        }
        for (final PeerState seen : mPeers.values()) {
            if (seen.mReady && isUp(seen, now)) {
                ready.add(seen.mMember);
            }
        }
        ready.sort(Comparator.comparing(Member::name));
        final List<Member> near =
                ready.stream().filter(member -> member.domain().equals(domain)).toList();
        final List<Member> chosen = near.size() >= MIN_DOMAIN_ADDRESSES ? near : ready;
        return chosen.stream().limit(MAX_ADDRESSES).map(Member::callerAddress).toList();
    }

    private static final class PeerState {
        private final Member mMember;
        private final boolean mReady;
        private final boolean mLeaving;
        private final Instant mReportedAt;

        private PeerState(
                final Member member, final boolean ready, final boolean leaving, final Instant at) {
            mMember = member;
            mReady = ready;
            mLeaving = leaving;
            mReportedAt = at;
        }
    }
}
