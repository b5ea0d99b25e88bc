package org.whinhead.serving.member;

import java.net.InetAddress;
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

/** Membership table: the daemons that are up and those that callers should use. */
public final class MemberTable {

    /** The shortest interval between reports of one daemon to another. */
    private static final Duration MIN_REPORT_INTERVAL = Duration.ofMillis(200);

    /** The interval that each daemon adds; about 45 reports a second arrive at each daemon. */
    private static final Duration REPORT_INTERVAL_PER_DAEMON = Duration.ofMillis(22);

    /** The number of missed reports after which a daemon counts as silent. */
    private static final int MAX_MISSED_REPORTS = 3;

    /** The shortest time after which a daemon counts as silent and gets no new callers. */
    static final Duration MIN_SILENCE_TIMEOUT = Duration.ofMillis(900);

    /** The time without a report after which a daemon is removed. */
    static final Duration EXPIRY_TIME = Duration.ofSeconds(30);

    /**
     * A longer time between two checks, one of which is due with each report: this process stood
     * still or had no processor, and has not read the reports of the others in that time.
     */
    private static final Duration MAX_CHECK_INTERVAL = MIN_REPORT_INTERVAL.multipliedBy(2);

    /** The fewest daemons of a failure domain for which those of other domains are omitted. */
    private static final int MIN_DOMAIN_ADDRESSES = 2;

    /** The most addresses returned to a caller; callers use no more. */
    private static final int MAX_ADDRESSES = 64;

    private final Member mSelf;
    private final Map<String, PeerState> mPeers = new HashMap<>();
    private Duration mReportInterval = MIN_REPORT_INTERVAL;
    private Duration mSilenceTimeout = MIN_SILENCE_TIMEOUT;
    private long mAddressChanges;
    private Instant mCheckedAt;
    private boolean mSelfReady;
    private boolean mSelfCutOff;

    /**
     * Creates a table that contains only this daemon.
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
     * Sets whether this daemon accepts callers.
     *
     * @param ready whether it accepts callers
     */
    public void setSelfReady(final boolean ready) {
        mSelfReady = ready;
    }

    public boolean isSelfReady() {
        return mSelfReady;
    }

    /**
     * Sets whether this daemon reaches the endpoints of some service only through other daemons.
     *
     * @param cutOff whether it is cut off
     */
    public void setSelfCutOff(final boolean cutOff) {
        mSelfCutOff = cutOff;
    }

    public boolean isSelfCutOff() {
        return mSelfCutOff;
    }

    /**
     * Records a report of another daemon.
     *
     * @param member the other daemon
     * @param status what it reports about itself
     * @param now the current time
     * @return the previous incarnation, if the daemon was restarted
     */
    public Optional<String> recordReport(
            final Member member, final MemberStatus status, final Instant now) {
        if (member.name().equals(mSelf.name())) {
            return Optional.empty();
        }
        final PeerState before = mPeers.put(member.name(), new PeerState(member, status, now));
        if (before == null || !before.mMember.peerAddress().equals(member.peerAddress())) {
            recordPeersChanged();
        }
        if (before == null || before.mMember.incarnation().equals(member.incarnation())) {
            return Optional.empty();
        }
        return Optional.of(before.mMember.incarnation());
    }

    /**
     * Removes daemons without a report for the expiry time; to be called several times a second.
     * After a pause in these calls the others get the time again in which this process has read no
     * reports.
     *
     * @param now the current time
     */
    public void expire(final Instant now) {
        if (mCheckedAt != null && now.isAfter(mCheckedAt.plus(MAX_CHECK_INTERVAL))) {
            final Duration pause = Duration.between(mCheckedAt, now);
            mPeers.replaceAll((name, peer) -> peer.afterPause(pause, now));
        }
        mCheckedAt = now;
        if (mPeers.values().removeIf(peer -> now.isAfter(peer.mReportedAt.plus(EXPIRY_TIME)))) {
            recordPeersChanged();
        }
    }

    /**
     * Updates the values that depend only on the number of daemons. They are used many times a
     * second for each daemon, so that computing them on each use would cost too much.
     */
    private void recordPeersChanged() {
        mAddressChanges++;
        final Duration interval = REPORT_INTERVAL_PER_DAEMON.multipliedBy(knownCount());
        mReportInterval =
                interval.compareTo(MIN_REPORT_INTERVAL) > 0 ? interval : MIN_REPORT_INTERVAL;
        final Duration timeout = mReportInterval.multipliedBy(MAX_MISSED_REPORTS);
        mSilenceTimeout =
                timeout.compareTo(MIN_SILENCE_TIMEOUT) > 0 ? timeout : MIN_SILENCE_TIMEOUT;
    }

    /**
     * Returns the number of changes to the addresses of the other daemons.
     *
     * @return the number of changes so far
     */
    public long addressChangeCount() {
        return mAddressChanges;
    }

    /**
     * Returns the other daemons, including silent ones.
     *
     * @return the other daemons
     */
    public Collection<Member> peers() {
        return mPeers.values().stream().map(peer -> peer.mMember).toList();
    }

    /**
     * Returns whether another daemon, including silent ones, has an address.
     *
     * @param address the address
     * @return true if a daemon reported from it
     */
    public boolean hasAddress(final InetAddress address) {
        return mPeers.values().stream()
                .anyMatch(peer -> peer.mMember.peerAddress().getAddress().equals(address));
    }

    /**
     * Returns the daemons that are leaving or silent, whose load no longer counts.
     *
     * @param now the current time
     * @return the names of these daemons
     */
    public List<String> silentMemberNames(final Instant now) {
        return mPeers.values().stream()
                .filter(peer -> !isUp(peer, now))
                .map(peer -> peer.mMember.name())
                .toList();
    }

    /**
     * Returns the rank of this daemon by name among those that are up; the first few perform tasks
     * for all daemons. Daemons whose tables differ may temporarily have the same rank.
     *
     * @param now the current time
     * @return the number of daemons that precede this one
     */
    public int rank(final Instant now) {
        int before = 0;
        for (final PeerState peer : mPeers.values()) {
            if (peer.mMember.name().compareTo(mSelf.name()) < 0 && isUp(peer, now)) {
                before++;
            }
        }
        return before;
    }

    /**
     * Returns the rank of this daemon by name among all in the table, including silent ones, so
     * that it changes rarely.
     *
     * @return the number of daemons that precede this one
     */
    public int knownRank() {
        return (int)
                mPeers.keySet().stream().filter(name -> name.compareTo(mSelf.name()) < 0).count();
    }

    /**
     * Returns the number of daemons that are up.
     *
     * @param now the current time
     * @return the number, this daemon included
     */
    public int upCount(final Instant now) {
        return 1 + (int) mPeers.values().stream().filter(peer -> isUp(peer, now)).count();
    }

    /**
     * Returns the interval between reports, which grows with the number of daemons.
     *
     * @return the interval
     */
    public Duration reportInterval() {
        return mReportInterval;
    }

    /**
     * Returns the other daemons that have reported a short while ago.
     *
     * @param withLeaving whether to include those that are about to stop
     * @param now the current time
     * @return the daemons
     */
    public List<Member> heardPeers(final boolean withLeaving, final Instant now) {
        return mPeers.values().stream()
                .filter(peer -> isHeard(peer, now) && (withLeaving || !peer.mStatus.leaving()))
                .map(peer -> peer.mMember)
                .toList();
    }

    private boolean isHeard(final PeerState peer, final Instant now) {
        return !now.isAfter(peer.mReportedAt.plus(mSilenceTimeout));
    }

    private boolean isUp(final PeerState peer, final Instant now) {
        return !peer.mStatus.leaving() && isHeard(peer, now);
    }

    /**
     * Returns the number of daemons in the table, including silent ones.
     *
     * @return the number, this daemon included
     */
    public int knownCount() {
        return 1 + mPeers.size();
    }

    /**
     * Returns the addresses that a caller should use: those of its own failure domain if it has
     * enough daemons, otherwise those of all domains.
     *
     * <p>Daemons that are cut off from endpoints are omitted as long as there are others. What they
     * serve costs another daemon as much as serving it itself, and the hop besides.
     *
     * @param domain the name of the caller's failure domain
     * @param now the current time
     * @return the addresses; empty if no daemon accepts callers
     */
    public List<InetSocketAddress> addressesFor(final String domain, final Instant now) {
        final List<Member> reaching = acceptingCallers(now, false);
        final List<Member> usable = reaching.isEmpty() ? acceptingCallers(now, true) : reaching;
        final List<Member> sameDomain =
                usable.stream().filter(member -> member.domain().equals(domain)).toList();
        final List<Member> chosen = sameDomain.size() >= MIN_DOMAIN_ADDRESSES ? sameDomain : usable;
        return chosen.stream().limit(MAX_ADDRESSES).map(Member::callerAddress).toList();
    }

    private List<Member> acceptingCallers(final Instant now, final boolean withCutOff) {
        final List<Member> accepting = new ArrayList<>();
        if (mSelfReady && (withCutOff || !mSelfCutOff)) {
            accepting.add(mSelf);
        }
        for (final PeerState peer : mPeers.values()) {
            final boolean reaches = withCutOff || !peer.mStatus.cutOff();
            if (reaches && peer.mStatus.acceptsCallers() && isUp(peer, now)) {
                accepting.add(peer.mMember);
            }
        }
        accepting.sort(Comparator.comparing(Member::name));
        return accepting;
    }

    /**
     * Returns the daemons that relay connections to endpoints.
     *
     * @param now the current time
     * @return the daemons that are up and reach the endpoints themselves
     */
    public List<Relay> relays(final Instant now) {
        return mPeers.values().stream()
                .filter(peer -> peer.mStatus.canRelay() && isUp(peer, now))
                .map(PeerState::relay)
                .sorted(Comparator.comparing(Relay::daemon))
                .toList();
    }

    private static final class PeerState {
        private final Member mMember;
        private final MemberStatus mStatus;
        private final Instant mReportedAt;

        private PeerState(final Member member, final MemberStatus status, final Instant at) {
            mMember = member;
            mStatus = status;
            mReportedAt = at;
        }

        private PeerState afterPause(final Duration pause, final Instant now) {
            final Instant reportedAt = mReportedAt.plus(pause);
            return new PeerState(mMember, mStatus, reportedAt.isAfter(now) ? now : reportedAt);
        }

        private Relay relay() {
            return new Relay(
                    mMember.name(),
                    mMember.domain(),
                    new InetSocketAddress(
                            mMember.peerAddress().getAddress(), mStatus.relayPort().orElseThrow()));
        }
    }
}
