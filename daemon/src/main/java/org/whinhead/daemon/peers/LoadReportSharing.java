package org.whinhead.daemon.peers;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.MembershipView;
import org.whinhead.peer.generated.PeerProto;
import org.whinhead.peer.generated.PeerProto.Envelope;
import org.whinhead.routing.DaemonLocation;
import org.whinhead.routing.LoadReport;
import org.whinhead.routing.WatchPlan;

/**
 * Selects the endpoints whose load this daemon polls, and sends digests of the reports to the peers
 * that use them for routing.
 */
final class LoadReportSharing {

    private static final Duration MIN_INTERVAL = Duration.ofSeconds(1);

    /** Keeps the bytes of digests sent per second about constant for any number of peers. */
    private static final Duration INTERVAL_PER_PEER = Duration.ofMillis(60);

    private final DaemonMember mSelf;
    private final Map<EndpointId, LoadReport> mUnsentReports = new HashMap<>();
    private List<DaemonAddress> mPeers = List.of();
    private Instant mNextDigest = Instant.MIN;
    private volatile Optional<Set<EndpointId>> mPolled = Optional.empty();

    LoadReportSharing(final DaemonMember self) {
        mSelf = self;
    }

    /** Returns whether this daemon polls an endpoint; true before any plan; from any thread. */
    boolean isPolledHere(final EndpointId endpoint) {
        return mPolled.map(polled -> polled.contains(endpoint)).orElse(true);
    }

    void viewChanged(final MembershipView view) {
        final List<DaemonLocation> locations = new ArrayList<>();
        for (final DaemonMember member : view.daemons()) {
            if (member.vm().state() == VmState.LIVE) {
                locations.add(location(member));
            }
        }
        final WatchPlan plan =
                WatchPlan.of(
                        location(mSelf),
                        locations,
                        List.copyOf(view.endpoints()),
                        WatchPlan.Limits.DEFAULT);
        mPolled = Optional.of(Set.copyOf(plan.polled()));
        mPeers =
                plan.peers().stream()
                        .map(peer -> view.daemon(new VmId(peer.value())))
                        .flatMap(Optional::stream)
                        .map(DaemonMember::address)
                        .toList();
    }

    /** Returns a location identified by the VM, so that all daemons compute the same plan. */
    private static DaemonLocation location(final DaemonMember member) {
        return new DaemonLocation(new DaemonId(member.id().value()), member.vm().domain());
    }

    void addReport(final LoadReport report) {
        mUnsentReports.put(report.endpoint(), report);
    }

    List<DaemonAddress> peers() {
        return mPeers;
    }

    /** Returns the digest to send now, if one is due and there are unsent reports. */
    Optional<Envelope> nextDigest(final Instant now) {
        if (now.isBefore(mNextDigest) || mUnsentReports.isEmpty()) {
            return Optional.empty();
        }
        mNextDigest = now.plus(interval());
        final PeerProto.LoadDigest.Builder digest = PeerProto.LoadDigest.newBuilder();
        mUnsentReports.values().forEach(report -> digest.addReports(encode(report)));
        mUnsentReports.clear();
        return Optional.of(Envelope.newBuilder().setLoadDigest(digest).build());
    }

    private Duration interval() {
        final Duration interval = INTERVAL_PER_PEER.multipliedBy(mPeers.size());
        return interval.compareTo(MIN_INTERVAL) > 0 ? interval : MIN_INTERVAL;
    }

    private static PeerProto.EndpointLoad encode(final LoadReport report) {
        return PeerProto.EndpointLoad.newBuilder()
                .setEndpoint(report.endpoint().value())
                .setAsOfMillis(report.asOf().toEpochMilli())
                .setRunning(report.running())
                .setWaiting(report.waiting())
                .setTokensPerSecond((float) report.tokensPerSecond())
                .build();
    }

    /** Decodes a peer's digest. */
    static List<LoadReport> decode(final PeerProto.LoadDigest digest) {
        final List<LoadReport> reports = new ArrayList<>(digest.getReportsCount());
        for (final PeerProto.EndpointLoad load : digest.getReportsList()) {
            reports.add(
                    new LoadReport(
                            new EndpointId(load.getEndpoint()),
                            Instant.ofEpochMilli(load.getAsOfMillis()),
                            load.getRunning(),
                            load.getWaiting(),
                            load.getTokensPerSecond()));
        }
        return reports;
    }
}
