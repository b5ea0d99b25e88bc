package org.whinhead.bench.peers;

import java.io.IOException;
import java.net.URI;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.clients.vms.ListedVm;
import org.whinhead.clients.vms.VmListing;
import org.whinhead.clients.vms.VmRole;
import org.whinhead.daemon.peers.PeerService;
import org.whinhead.daemon.peers.PeerServiceListener;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.peer.PeerException;
import org.whinhead.routing.LoadReport;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.HostPort;
import org.whinhead.settings.daemon.ListenAddresses;
import org.whinhead.settings.daemon.PlatformUris;
import org.whinhead.settings.daemon.TlsFiles;
import org.xnio.XnioWorker;

/** Peer services of many daemons over TLS on loopback, fed with VM lists and load reports. */
final class TrafficFleet implements AutoCloseable {

    private static final int ENDPOINTS_AT_FULL_SIZE = 1_800;
    private static final int DAEMONS_AT_FULL_SIZE = 330;
    private static final int DOMAINS = 3;
    private static final URI UNREACHABLE_URI = URI.create("http://127.0.0.1:1");
    private static final String HOST = "127.0.0.1";

    private final List<PeerService> mPeerServices = new ArrayList<>();
    private final List<ListedVm> mVms = new ArrayList<>();
    private final List<Endpoint> mEndpoints = new ArrayList<>();

    TrafficFleet(
            final int daemons, final TrafficCertificateAuthority authority, final XnioWorker worker)
            throws IOException, PeerException {
        final int endpoints = daemons * ENDPOINTS_AT_FULL_SIZE / DAEMONS_AT_FULL_SIZE;
        for (int i = 0; i < daemons; i++) {
            mVms.add(listed("vm-entry-" + i, i, VmRole.ENTRY, ""));
        }
        for (int i = 0; i < endpoints; i++) {
            mVms.add(listed("vm-engine-" + i, i, VmRole.SERVICE, "fees"));
            mEndpoints.add(mVms.get(mVms.size() - 1).endpoint(Set.of()));
        }
        for (int i = 0; i < daemons; i++) {
            final DaemonSettings settings = settings(i, authority.issue("vm-entry-" + i));
            mPeerServices.add(
                    PeerService.start(
                            settings,
                            new DaemonId(settings.name()),
                            InstantSource.system(),
                            worker.getIoThread(),
                            () -> 0,
                            new NoOpListener()));
        }
    }

    private static FailureDomain domain(final int number) {
        return new FailureDomain("kigali", "kg-" + number % DOMAINS);
    }

    private static URI publicUri(final int number) {
        return URI.create("http://127.0.0.1:2/" + number);
    }

    private static ListedVm listed(
            final String id, final int number, final VmRole role, final String service) {
        final Vm vm =
                new Vm(
                        new VmId(id),
                        HOST,
                        domain(number),
                        "small",
                        Billing.RECLAIMABLE,
                        VmState.LIVE);
        return new ListedVm(vm, role, publicUri(number), service, false, 1);
    }

    private DaemonSettings settings(final int number, final TlsFiles tls) {
        final HostPort free = new HostPort(HOST, 0);
        return DaemonSettings.builder("daemon-" + number)
                .vm(new VmId("vm-entry-" + number))
                .domain(domain(number))
                .listen(new ListenAddresses(free, free, free))
                .publicUri(publicUri(number))
                .platform(
                        new PlatformUris(
                                UNREACHABLE_URI, UNREACHABLE_URI, UNREACHABLE_URI, UNREACHABLE_URI))
                .seeds(mPeerServices.stream().map(PeerService::address).toList())
                .tls(Optional.of(tls))
                .build();
    }

    /** Feeds each daemon the VM list and the load reports that it would read in one period. */
    void feed() {
        final Instant now = Instant.now();
        final VmListing listing = new VmListing(now, mVms);
        for (final PeerService peer : mPeerServices) {
            peer.vmListRead(listing);
            for (final Endpoint endpoint : mEndpoints) {
                if (peer.isPolledHere(endpoint.id())) {
                    peer.loadPolled(new LoadReport(endpoint.id(), now, 3, 1, 250));
                }
            }
        }
    }

    /** Returns the smallest number of live daemons in any daemon's view. */
    long leastLive() {
        return mPeerServices.stream()
                .mapToLong(
                        peer ->
                                peer.view().daemons().stream()
                                        .filter(member -> member.vm().state() == VmState.LIVE)
                                        .count())
                .min()
                .orElse(0);
    }

    long messagesSent() {
        return mPeerServices.stream().mapToLong(peer -> peer.counters().messagesSent()).sum();
    }

    long bytesSent() {
        return mPeerServices.stream().mapToLong(peer -> peer.counters().bytesSent()).sum();
    }

    long dropped() {
        return mPeerServices.stream().mapToLong(peer -> peer.counters().messagesDropped()).sum();
    }

    @Override
    public void close() {
        mPeerServices.forEach(PeerService::close);
    }

    /** Ignores the events of the peer service, which are not measured. */
    private static final class NoOpListener implements PeerServiceListener {
        @Override
        public boolean endpointsChanged(final List<Endpoint> endpoints) {
            return true;
        }

        @Override
        public boolean endpointLeaving(final EndpointId endpoint, final Instant goneBy) {
            return true;
        }

        @Override
        public void addressesChanged(final List<EntryAddress> addresses) {
            // The benchmark uses no entry addresses.
        }

        @Override
        public boolean ownVmLeaving(final Instant goneBy) {
            return true;
        }

        @Override
        public void loadReported(final LoadReport report) {
            // The benchmark runs no router.
        }
    }
}
