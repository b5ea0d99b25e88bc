package org.whinhead.bench.peers;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.VmId;
import org.whinhead.daemon.Daemon;
import org.whinhead.daemon.DaemonOptions;
import org.whinhead.daemon.WorkerPool;
import org.whinhead.settings.KeyHashes;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.HostPort;
import org.whinhead.settings.daemon.ListenAddresses;
import org.whinhead.settings.daemon.PlatformUris;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentPath;
import org.whinhead.settings.deployment.StoredDocument;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.cloud.CloudActions;
import org.whinhead.standins.cloud.CloudStandIn;
import org.whinhead.standins.cloud.VmOrder;
import org.whinhead.standins.vms.VmEntry;
import org.whinhead.standins.vms.VmListStandIn;
import org.xnio.XnioWorker;

/** Daemons in one process, of which only the first receives the cloud's reclaim notices. */
final class LeavingFleet implements AutoCloseable {

    static final String KEY = "key-of-the-bench";
    static final String SERVICE = "fees";

    private static final FailureDomain DOMAIN = new FailureDomain("kigali", "kg-gasabo");
    private static final URI UNREACHABLE_URI = URI.create("http://127.0.0.1:1");
    private static final Duration NOTICE = Duration.ofHours(1);
    private static final int IO_THREADS = 4;
    private static final int SLOTS = 64;
    private static final String TIER =
            "{'schema':1,'priority':5,'firstTokenMillis':1000,'betweenTokensMillis':1000,"
                    + "'requestTimeoutMillis':30000,'objectives':{'latencyShare':0.99,"
                    + "'availabilityShare':0.99,'windowHours':24}}";
    private static final String RULES =
            "{'schema':1,'timeoutMillis':10000,'nonIdempotentPaths':['payments']}";
    private static final String CUSTOMER =
            "{'schema':1,'tier':'/tiers/standard','keyHashes':['sha256:"
                    + KeyHashes.hash(KEY)
                    + "'],'weight':1,'tokensPerSecond':1000000}";

    private final StandInContext mContext = StandInContext.start();
    private final VmListStandIn mVms = VmListStandIn.start(0, Duration.ZERO, mContext);
    private final CloudStandIn mCloud =
            CloudStandIn.start(0, Duration.ZERO, List.of(), new NoOpCloudActions(), mContext);
    private final RecordingEndpoints mEndpoints;
    private final XnioWorker mWorker;
    private final List<Daemon> mDaemons = new ArrayList<>();

    LeavingFleet(final RecordingEndpoints endpoints) throws IOException {
        mEndpoints = endpoints;
        mWorker = WorkerPool.start("bench", IO_THREADS);
    }

    private static String endpointVm(final int endpoint) {
        return "vm-endpoint-" + endpoint;
    }

    private static VmEntry vm(
            final String id, final VmEntry.Role role, final URI uri, final String service) {
        return new VmEntry(
                id,
                "127.0.0.1",
                DOMAIN,
                "small",
                Billing.RECLAIMABLE,
                false,
                role,
                uri.toString(),
                service,
                false,
                SLOTS);
    }

    /** Adds an endpoint to the VM list and its VM to the cloud. */
    void addEndpoint(final int endpoint) {
        final String vm = endpointVm(endpoint);
        mVms.seed(vm(vm, VmEntry.Role.SERVICE, mEndpoints.uri(endpoint), SERVICE));
        mCloud.addRunning(
                vm,
                new VmOrder("adopted", DOMAIN, "small", Billing.RECLAIMABLE, VmEntry.Role.SERVICE));
    }

    /** Announces the reclaim of an endpoint's VM to the first daemon. */
    void announceReclaim(final int endpoint) {
        mCloud.reclaim(endpointVm(endpoint), NOTICE);
    }

    /** Starts another daemon, with the running daemons as seeds. */
    void startDaemon() {
        final int number = mDaemons.size();
        final String vm = "vm-entry-" + number;
        final URI publicUri = URI.create("http://127.0.0.1:2/" + number);
        mVms.seed(vm(vm, VmEntry.Role.ENTRY, publicUri, ""));
        final HostPort free = new HostPort("127.0.0.1", 0);
        final URI cloud = number == 0 ? mCloud.uri() : UNREACHABLE_URI;
        final Daemon daemon =
                Daemon.start(
                        DaemonSettings.builder("daemon-" + number)
                                .vm(new VmId(vm))
                                .domain(DOMAIN)
                                .listen(new ListenAddresses(free, free, free))
                                .publicUri(publicUri)
                                .platform(
                                        new PlatformUris(
                                                UNREACHABLE_URI,
                                                mVms.uri(),
                                                cloud,
                                                UNREACHABLE_URI))
                                .seeds(mDaemons.stream().map(Daemon::peerAddress).toList())
                                .build(),
                        DaemonOptions.on(mWorker));
        daemon.settingsChanged(
                DeploymentSettings.of(
                        List.of(
                                document("/tiers/standard", TIER),
                                document("/services/" + SERVICE, RULES),
                                document("/teams/filing/customers/clinic", CUSTOMER))),
                0);
        mDaemons.add(daemon);
    }

    private static StoredDocument document(final String path, final String text) {
        return new StoredDocument(DocumentPath.parse(path), text.replace('\'', '"'), 0);
    }

    URI callerUri(final int daemon) {
        return mDaemons.get(daemon).callerUri();
    }

    @Override
    public void close() {
        mDaemons.forEach(Daemon::close);
        mCloud.close();
        mVms.close();
        mContext.close();
        mWorker.shutdown();
    }

    /** Ignores cloud events: the endpoints keep running, only the notice is measured. */
    private static final class NoOpCloudActions implements CloudActions {
        @Override
        public void onStarted(final String vm, final VmOrder order) {
            // The benchmark orders no VM.
        }

        @Override
        public void onNotice(final String vm, final Instant goneBy) {
            // The first daemon receives the notice from the cloud.
        }

        @Override
        public void onGone(final String vm) {
            // The notice period is longer than the run.
        }
    }
}
