package org.whinhead.demo;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.VmId;
import org.whinhead.daemon.Daemon;
import org.whinhead.daemon.DaemonOptions;
import org.whinhead.daemon.WorkerPool;
import org.whinhead.settings.KeyHashes;
import org.whinhead.settings.daemon.DaemonLimits;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.HostPort;
import org.whinhead.settings.daemon.ListenAddresses;
import org.whinhead.settings.daemon.OperatorKey;
import org.whinhead.settings.daemon.PlatformUris;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentPath;
import org.whinhead.settings.deployment.StoredDocument;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.engine.EngineConfig;
import org.whinhead.standins.engine.EngineStandIn;
import org.whinhead.standins.service.ServiceConfig;
import org.whinhead.standins.service.ServiceStandIn;
import org.whinhead.standins.vms.VmEntry;
import org.whinhead.standins.vms.VmListStandIn;
import org.xnio.XnioWorker;

/** Runs one daemon with an engine stand-in and a service stand-in, and a client. */
final class SingleDaemonDeployment implements AutoCloseable {

    static final String KEY = "key-of-the-clinic";
    static final int MAX_BODY_BYTES = 4096;

    private static final FailureDomain DOMAIN = new FailureDomain("kigali", "kg-gasabo");
    private static final Map<String, String> DOCUMENTS =
            Map.of(
                    "/tiers/standard",
                    "{'schema':1,'priority':5,'firstTokenMillis':1000,'betweenTokensMillis':1000,"
                            + "'requestTimeoutMillis':30000,'objectives':{'latencyShare':0.99,"
                            + "'availabilityShare':0.99,'windowHours':24}}",
                    "/models/summary/1",
                    "{'schema':1,'weightsBytes':1,'adapters':[],'contextTokens':4096,"
                            + "'targetShare':1}",
                    "/services/fees",
                    "{'schema':1,'timeoutMillis':10000,'nonIdempotentPaths':['payments']}",
                    "/teams/filing/customers/clinic",
                    "{'schema':1,'tier':'/tiers/standard','keyHashes':['sha256:"
                            + KeyHashes.hash(KEY)
                            + "'],'weight':1,'tokensPerSecond':1000}");
    private static final Duration BODY_TIMEOUT = Duration.ofMillis(300);

    private final StandInContext mStandIns = StandInContext.start();
    private final EngineStandIn mEngine;
    private final ServiceStandIn mService;
    private final VmListStandIn mVms;
    private final XnioWorker mWorker;
    private final Daemon mDaemon;
    private final HttpClient mClient = HttpClient.newHttpClient();

    SingleDaemonDeployment(final double speedUp) throws Exception {
        mEngine =
                EngineStandIn.start(
                        EngineConfig.builder("engine-1").speedUp(speedUp).build(), mStandIns);
        mService = ServiceStandIn.start(ServiceConfig.of("fees", Duration.ofMillis(1)), mStandIns);
        mVms = VmListStandIn.start(0, Duration.ZERO, mStandIns);
        mVms.seed(vm("vm-engine", VmEntry.Role.ENGINE, mEngine.uri(), ""));
        mVms.seed(vm("vm-fees", VmEntry.Role.SERVICE, mService.uri(), "fees"));
        mWorker = WorkerPool.start("whole-path", 2);
        mDaemon = Daemon.start(settings(), DaemonOptions.on(mWorker).withBodyTimeout(BODY_TIMEOUT));
        mDaemon.settingsChanged(
                DeploymentSettings.of(
                        DOCUMENTS.entrySet().stream()
                                .map(SingleDaemonDeployment::document)
                                .collect(Collectors.toList())),
                0);
        while (get(mDaemon.operatorUri().resolve("/health/ready")).statusCode() != 200) {
            Thread.onSpinWait();
        }
    }

    private static StoredDocument document(final Map.Entry<String, String> entry) {
        return new StoredDocument(
                DocumentPath.parse(entry.getKey()), entry.getValue().replace('\'', '"'), 0);
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

    private DaemonSettings settings() {
        final HostPort free = new HostPort("127.0.0.1", 0);
        final URI none = URI.create("http://127.0.0.1:1");
        return DaemonSettings.builder("daemon-1")
                .vm(new VmId("vm-1"))
                .domain(DOMAIN)
                .listen(new ListenAddresses(free, free, free))
                .publicUri(URI.create("http://127.0.0.1:2"))
                .platform(new PlatformUris(none, mVms.uri(), none, none))
                .limits(new DaemonLimits(MAX_BODY_BYTES, 1024, 64))
                .operators(List.of(new OperatorKey("on-call", KeyHashes.hash(KEY), "/")))
                .build();
    }

    HttpResponse<String> get(final URI uri) throws Exception {
        return send(HttpRequest.newBuilder(uri).header("Authorization", "Bearer " + KEY).build());
    }

    Daemon daemon() {
        return mDaemon;
    }

    URI uri() {
        return mDaemon.callerUri();
    }

    EngineStandIn engine() {
        return mEngine;
    }

    StandInContext standIns() {
        return mStandIns;
    }

    HttpRequest.Builder request(final String path) {
        return HttpRequest.newBuilder(uri().resolve(path))
                .timeout(Duration.ofSeconds(20))
                .header("Authorization", "Bearer " + KEY);
    }

    HttpResponse<String> send(final HttpRequest request) throws Exception {
        return mClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> chat(final String body) throws Exception {
        return send(
                request("/v1/chat/completions")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }

    @Override
    public void close() {
        mDaemon.close();
        mEngine.close();
        mService.close();
        mVms.close();
        mStandIns.close();
        mWorker.shutdown();
    }
}
