package org.whinhead.gateway.peers;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.EndpointShare;
import org.whinhead.gateway.generated.GatewayProto.PeerReport;
import org.whinhead.gateway.generated.GatewayProto.ServiceWorkRecord;
import org.whinhead.gateway.generated.GatewayProto.UsageEntry;
import org.whinhead.serving.admission.RankCounts;
import org.whinhead.serving.admission.ServiceWork;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.usage.UsageCount;

/** Creates this daemon's reports and applies those of other daemons. */
final class PeerReportHandler {

    private static final Logger LOG = LoggerFactory.getLogger(PeerReportHandler.class);

    private final ServingState mState;
    private final MemberTable mMembers;
    private final CrashMessenger mCrashMessenger;
    private final DepartureMessenger mDepartureMessenger;
    private final LimitMessenger mLimitMessenger;
    private final SpeedMessenger mSpeedMessenger;
    private final Consumer<InetSocketAddress> mOnContact;
    private LongConsumer mOnShareTableVersion = version -> {};
    private int mRelayPort;

    PeerReportHandler(
            final ServingState state,
            final MemberTable members,
            final CrashMessenger crashMessenger,
            final DepartureMessenger departureMessenger,
            final LimitMessenger limitMessenger,
            final SpeedMessenger speedMessenger,
            final Consumer<InetSocketAddress> onContact) {
        mState = state;
        mMembers = members;
        mCrashMessenger = crashMessenger;
        mDepartureMessenger = departureMessenger;
        mLimitMessenger = limitMessenger;
        mSpeedMessenger = speedMessenger;
        mOnContact = onContact;
    }

    /** Sets the handler of other daemons' share table versions; 0 without a table. */
    void onShareTableVersion(final LongConsumer onShareTable) {
        mOnShareTableVersion = onShareTable;
    }

    /** Sets the port on which this daemon relays connections; 0 as long as it doesn't. */
    void setRelayPort(final int relayPort) {
        mRelayPort = relayPort;
    }

    /**
     * Creates a report of this daemon.
     *
     * @param leaving whether this daemon is about to stop
     * @param maxContacts maximum number of daemon addresses in the report
     */
    PeerReport createReport(final boolean leaving, final int maxContacts) {
        final Member self = mMembers.self();
        final PeerReport.Builder report =
                PeerReport.newBuilder()
                        .setName(self.name())
                        .setIncarnation(self.incarnation())
                        .setDomain(self.domain())
                        .setCallerAddress(Addresses.format(self.callerAddress()))
                        .setPeerAddress(Addresses.format(self.peerAddress()))
                        .setReady(mMembers.isSelfReady())
                        .setLeaving(leaving)
                        .setRelayPort(mRelayPort)
                        .setCutOff(mMembers.isSelfCutOff())
                        .setTimeOfDayMillis(mState.usageClock().instant().toEpochMilli());
        mState.configuration()
                .current()
                .ifPresent(current -> report.setConfigurationVersion(current.version()));
        report.setOfferedTokens(mState.quotas().offeredLoad().ownTokens());
        mState.quotas()
                .heldShares()
                .table()
                .ifPresent(table -> report.setShareTableVersion(table.version()));
        EndpointShareCodec.createShares(mState.chooser(), mState.clock().instant())
                .forEach(report::addShares);
        for (final ServiceWork work : mState.admission().ownWork()) {
            report.addServiceWork(
                    ServiceWorkRecord.newBuilder()
                            .setService(work.service())
                            .addAllRunning(work.running().toList())
                            .addAllWaiting(work.waiting().toList()));
        }
        for (final UsageCount count : mState.usage().ownCounts()) {
            report.addUsage(
                    UsageEntry.newBuilder()
                            .setWindow(count.window())
                            .setCustomer(count.customer())
                            .setRequests(count.requests()));
        }
        mCrashMessenger.addTo(report);
        mDepartureMessenger.addTo(report);
        mLimitMessenger.addTo(report);
        mMembers.peers().stream()
                .limit(maxContacts)
                .forEach(peer -> report.addContacts(Addresses.format(peer.peerAddress())));
        return report.build();
    }

    private static MemberStatus statusOf(final PeerReport report) {
        return new MemberStatus(
                report.getReady(),
                report.getLeaving(),
                report.getCutOff(),
                report.getRelayPort() == 0
                        ? OptionalInt.empty()
                        : OptionalInt.of(report.getRelayPort()));
    }

    private static List<ServiceWork> serviceWork(final PeerReport report) {
        return report.getServiceWorkList().stream()
                .filter(work -> !work.getService().isBlank())
                .map(
                        work ->
                                new ServiceWork(
                                        work.getService(),
                                        RankCounts.of(work.getRunningList()),
                                        RankCounts.of(work.getWaitingList())))
                .toList();
    }

    /** Applies a report of another daemon; ignores this daemon's own. */
    void applyReport(final PeerReport report) {
        if (report.getName().equals(mMembers.self().name())) {
            return;
        }
        final Instant now = mState.clock().instant();
        // A daemon without a configuration reports 0, which is below any version.
        mState.configurationProgress().recordAnnounced(report.getConfigurationVersion(), now);
        final Member member =
                new Member(
                        report.getName(),
                        report.getIncarnation(),
                        report.getDomain(),
                        Addresses.parse(report.getCallerAddress()),
                        Addresses.parse(report.getPeerAddress()));
        mMembers.recordReport(member, statusOf(report), now)
                .ifPresent(
                        previous ->
                                LOG.atInfo()
                                        .addKeyValue("daemon", member.name())
                                        .addKeyValue("incarnation", member.incarnation())
                                        .log("peer daemon restarted"));
        if (report.getTimeOfDayMillis() > 0) {
            mState.usageClock()
                    .recordPeerTime(
                            report.getName(), Instant.ofEpochMilli(report.getTimeOfDayMillis()));
        }
        report.getContactsList().forEach(contact -> mOnContact.accept(Addresses.parse(contact)));
        mState.quotas()
                .offeredLoad()
                .updatePeer(report.getIncarnation(), report.getOfferedTokens());
        mOnShareTableVersion.accept(report.getShareTableVersion());
        mState.chooser().forgetPeer(report.getName());
        for (final EndpointShare share : report.getSharesList()) {
            if (share.getRunning() > 0) {
                mState.chooser()
                        .updatePeerLoad(
                                report.getName(),
                                share.getEndpoint(),
                                share.getRunning(),
                                share.getPromptTokens());
            }
            mSpeedMessenger.apply(report.getName(), share);
        }
        mState.admission().applyReport(report.getName(), serviceWork(report), now);
        mCrashMessenger.receive(report);
        mDepartureMessenger.receive(report);
        mLimitMessenger.receive(report);
        for (final UsageEntry entry : report.getUsageList()) {
            mState.usage()
                    .mergePeerCount(
                            report.getIncarnation(),
                            new UsageCount(
                                    entry.getWindow(), entry.getCustomer(), entry.getRequests()));
        }
    }
}
