package org.whinhead.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
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
import org.whinhead.settings.daemon.OperatorKey;
import org.whinhead.settings.daemon.PlatformUris;
import org.whinhead.settings.daemon.TlsFiles;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentPath;
import org.whinhead.settings.deployment.StoredDocument;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.cloud.CloudActions;
import org.whinhead.standins.cloud.CloudStandIn;
import org.whinhead.standins.cloud.VmOrder;
import org.whinhead.standins.service.ServiceConfig;
import org.whinhead.standins.service.ServiceStandIn;
import org.whinhead.standins.vms.VmEntry;
import org.whinhead.standins.vms.VmListStandIn;
import org.xnio.XnioWorker;

/** Runs daemons that find each other by seeds; only the first one receives the cloud's notices. */
final class PeerDeployment implements AutoCloseable {

    static final Duration TIMEOUT = Duration.ofSeconds(30);

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String KEY = "key-of-the-clinic";
    private static final FailureDomain DOMAIN = new FailureDomain("kigali", "kg-gasabo");
    private static final URI UNREACHABLE = URI.create("http://127.0.0.1:1");
    private static final Map<String, String> DOCUMENTS =
            Map.of(
                    "/tiers/standard",
                    "{'schema':1,'priority':5,'firstTokenMillis':1000,'betweenTokensMillis':1000,"
                            + "'requestTimeoutMillis':30000,'objectives':{'latencyShare':0.99,"
                            + "'availabilityShare':0.99,'windowHours':24}}",
                    "/services/fees",
                    "{'schema':1,'timeoutMillis':10000,'nonIdempotentPaths':['payments']}",
                    "/teams/filing/customers/clinic",
                    "{'schema':1,'tier':'/tiers/standard','keyHashes':['sha256:"
                            + KeyHashes.hash(KEY)
                            + "'],'weight':1,'tokensPerSecond':1000}");

    private final StandInContext mPlatform = StandInContext.start();
    private final List<StandInContext> mContexts = new ArrayList<>();
    private final List<ServiceStandIn> mServices = new ArrayList<>();
    private final VmListStandIn mVms = VmListStandIn.start(0, Duration.ZERO, mPlatform);
    private final CloudStandIn mCloud =
            CloudStandIn.start(0, Duration.ZERO, List.of(), new NoActions(), mPlatform);
    private final XnioWorker mWorker;
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final List<Daemon> mDaemons = new ArrayList<>();

    /** Creates the platform with two endpoints of one service. */
    PeerDeployment() throws Exception {
        mWorker = WorkerPool.start("peers", 2);
        for (int i = 0; i < 2; i++) {
            final StandInContext context = StandInContext.start();
            mContexts.add(context);
            final ServiceConfig config = ServiceConfig.of("fees", Duration.ofMillis(1));
            final ServiceStandIn service = ServiceStandIn.start(config, context);
            mServices.add(service);
            mVms.seed(vm(endpointVm(i), VmEntry.Role.SERVICE, service.uri(), "fees"));
            mCloud.addRunning(endpointVm(i), order(VmEntry.Role.SERVICE));
        }
    }

    static String endpointVm(final int endpoint) {
        return "vm-fees-" + endpoint;
    }

    static String daemonVm(final int daemon) {
        return "vm-entry-" + daemon;
    }

    static URI publicUri(final int daemon) {
        return URI.create("http://127.0.0.1:2/" + daemon);
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
                true,
                8);
    }

    private static VmOrder order(final VmEntry.Role role) {
        return new VmOrder("adopted", DOMAIN, "small", Billing.RECLAIMABLE, role);
    }

    /** Starts daemons and waits until each one lists all of them for callers. */
    void startDaemons(final int count) throws Exception {
        for (int i = 0; i < count; i++) {
            startDaemon(Optional.empty());
        }
        for (int i = 0; i < count; i++) {
            awaitAddresses(i, count);
        }
    }

    /** Starts a daemon on a listed VM, with the earlier daemons as seeds. */
    int startDaemon(final Optional<TlsFiles> tls) throws Exception {
        final int number = mDaemons.size();
        mVms.seed(vm(daemonVm(number), VmEntry.Role.ENTRY, publicUri(number), ""));
        mCloud.addRunning(daemonVm(number), order(VmEntry.Role.ENTRY));
        final HostPort free = new HostPort("127.0.0.1", 0);
        final URI cloud = number == 0 ? mCloud.uri() : UNREACHABLE;
        final Daemon daemon =
                Daemon.start(
                        DaemonSettings.builder("daemon-" + number)
                                .vm(new VmId(daemonVm(number)))
                                .domain(DOMAIN)
                                .listen(new ListenAddresses(free, free, free))
                                .publicUri(publicUri(number))
                                .platform(
                                        new PlatformUris(
                                                UNREACHABLE, mVms.uri(), cloud, UNREACHABLE))
                                .seeds(mDaemons.stream().map(Daemon::peerAddress).toList())
                                .tls(tls)
                                .operators(
                                        List.of(
                                                new OperatorKey(
                                                        "on-call", KeyHashes.hash(KEY), "/")))
                                .build(),
                        DaemonOptions.on(mWorker));
        mDaemons.add(daemon);
        daemon.settingsChanged(
                DeploymentSettings.of(
                        DOCUMENTS.entrySet().stream().map(PeerDeployment::document).toList()),
                0);
        await("daemon " + number + " is ready", () -> isReady(number));
        return number;
    }

    private static StoredDocument document(final Map.Entry<String, String> entry) {
        return new StoredDocument(
                DocumentPath.parse(entry.getKey()), entry.getValue().replace('\'', '"'), 0);
    }

    static void await(final String description, final Callable<Boolean> condition)
            throws Exception {
        final long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("not within " + TIMEOUT + ": " + description);
            }
            Thread.onSpinWait();
        }
    }

    void awaitAddresses(final int daemon, final int count) throws Exception {
        await(
                "daemon " + daemon + " lists " + count + " addresses",
                () -> addresses(daemon).size() == count);
    }

    boolean isReady(final int daemon) throws Exception {
        return get(mDaemons.get(daemon).operatorUri().resolve("/health/ready")).statusCode() == 200;
    }

    String metrics(final int daemon) throws Exception {
        return get(mDaemons.get(daemon).operatorUri().resolve("/metrics")).body();
    }

    /**
     * Returns the daemons that confirm a revision or, for the field "missing", those that do not.
     */
    List<String> daemonsByRevision(final int daemon, final long revision, final String field)
            throws Exception {
        final String path = "/operator/settings/inforce?revision=" + revision;
        final HttpResponse<String> answer = get(mDaemons.get(daemon).operatorUri().resolve(path));
        final List<String> names = new ArrayList<>();
        MAPPER.readTree(answer.body()).path(field).forEach(name -> names.add(name.asText()));
        return names;
    }

    /** Returns the addresses that a daemon lists for callers. */
    List<URI> addresses(final int daemon) throws Exception {
        final HttpResponse<String> answer =
                get(mDaemons.get(daemon).callerUri().resolve("/v1/addresses"));
        final List<URI> addresses = new ArrayList<>();
        for (final JsonNode address : MAPPER.readTree(answer.body()).path("addresses")) {
            addresses.add(URI.create(address.path("uri").asText()));
        }
        return addresses;
    }

    /** Calls the service through a daemon and returns the number of the endpoint that ran it. */
    int callService(final int daemon) throws Exception {
        final String key = UUID.randomUUID().toString();
        final URI uri = mDaemons.get(daemon).callerUri().resolve("/v1/services/fees/status");
        final HttpResponse<String> answer =
                mClient.send(
                        HttpRequest.newBuilder(uri)
                                .header("Authorization", "Bearer " + KEY)
                                .header("Idempotency-Key", key)
                                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() != 200) {
            throw new IllegalStateException(answer.statusCode() + ": " + answer.body());
        }
        return mContexts.get(0).workCounter().executions(key) > 0 ? 0 : 1;
    }

    private HttpResponse<String> get(final URI uri) throws Exception {
        return mClient.send(
                HttpRequest.newBuilder(uri).header("Authorization", "Bearer " + KEY).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    Daemon daemon(final int number) {
        return mDaemons.get(number);
    }

    CloudStandIn cloud() {
        return mCloud;
    }

    VmListStandIn vms() {
        return mVms;
    }

    @Override
    public void close() {
        mDaemons.forEach(Daemon::close);
        mServices.forEach(ServiceStandIn::close);
        mCloud.close();
        mVms.close();
        mContexts.forEach(StandInContext::close);
        mPlatform.close();
        mWorker.shutdown();
    }

    /** Ignores all events, as the tests use only the notices of the cloud. */
    private static final class NoActions implements CloudActions {
        @Override
        public void onStarted(final String vm, final VmOrder order) {}

        @Override
        public void onNotice(final String vm, final Instant goneBy) {}

        @Override
        public void onGone(final String vm) {}
    }
}
