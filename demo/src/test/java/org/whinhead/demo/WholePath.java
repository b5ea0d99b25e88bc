package org.whinhead.demo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.model.Tier;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.daemon.Daemon;
import org.whinhead.daemon.DaemonOptions;
import org.whinhead.daemon.WorkerPool;
import org.whinhead.daemon.view.DeploymentView;
import org.whinhead.settings.KeyHashes;
import org.whinhead.settings.daemon.DaemonLimits;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.HostPort;
import org.whinhead.settings.daemon.ListenAddresses;
import org.whinhead.settings.daemon.PlatformUris;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.engine.EngineConfig;
import org.whinhead.standins.engine.EngineStandIn;
import org.xnio.XnioWorker;

/** One daemon in front of one engine stand-in, and a client. */
final class WholePath implements AutoCloseable {

    static final String KEY = "key-of-the-clinic";
    static final int MAX_BODY_BYTES = 4096;

    private static final FailureDomain DOMAIN = new FailureDomain("kigali", "kg-gasabo");
    private static final ModelRef MODEL = ModelRef.parse("summary@1");
    private static final Duration BODY_TIMEOUT = Duration.ofMillis(300);

    private final StandInContext mStandIns = StandInContext.start();
    private final EngineStandIn mEngine;
    private final XnioWorker mWorker;
    private final Daemon mDaemon;
    private final HttpClient mClient = HttpClient.newHttpClient();

    WholePath(final double speedUp) throws IOException {
        mEngine =
                EngineStandIn.start(
                        EngineConfig.builder("engine-1").speedUp(speedUp).build(), mStandIns);
        mWorker = WorkerPool.start("whole-path", 2);
        mDaemon = Daemon.start(settings(), DaemonOptions.on(mWorker).withBodyTimeout(BODY_TIMEOUT));
        mDaemon.viewChanged(
                new DeploymentView(List.of(customer()), Map.of("summary", MODEL), Map.of()));
        mDaemon.endpointsChanged(List.of(endpoint()));
    }

    private static DaemonSettings settings() {
        final HostPort free = new HostPort("127.0.0.1", 0);
        final URI none = URI.create("http://127.0.0.1:1");
        return DaemonSettings.builder("daemon-1")
                .vm(new VmId("vm-1"))
                .domain(DOMAIN)
                .listen(new ListenAddresses(free, free, free))
                .publicUri(none)
                .platform(new PlatformUris(none, none, none, none))
                .limits(new DaemonLimits(MAX_BODY_BYTES, 1024, 64))
                .build();
    }

    private static Customer customer() {
        final Duration second = Duration.ofSeconds(1);
        final Tier tier = new Tier("standard", 5, second, second, Duration.ofSeconds(30));
        return new Customer(
                new CustomerId("clinic"),
                new TeamId("filing"),
                tier,
                List.of(KeyHashes.hash(KEY)),
                1,
                1000);
    }

    private Endpoint endpoint() {
        final Vm vm =
                new Vm(
                        new VmId("vm-e"),
                        "127.0.0.1",
                        DOMAIN,
                        "engine",
                        Billing.RECLAIMABLE,
                        VmState.LIVE);
        return Endpoint.engine(new EndpointId("engine-1"))
                .vm(vm)
                .uri(mEngine.uri())
                .models(Set.of(MODEL))
                .build();
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
        mStandIns.close();
        mWorker.shutdown();
    }
}
