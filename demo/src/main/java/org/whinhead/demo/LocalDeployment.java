package org.whinhead.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.VmId;
import org.whinhead.daemon.Daemon;
import org.whinhead.daemon.DaemonOptions;
import org.whinhead.daemon.WorkerPool;
import org.whinhead.daemon.log.LogServiceSettings;
import org.whinhead.settings.KeyHashes;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.HostPort;
import org.whinhead.settings.daemon.ListenAddresses;
import org.whinhead.settings.daemon.OperatorKey;
import org.whinhead.settings.daemon.PlatformUris;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.log.LogConfig;
import org.whinhead.standins.log.LogStandIn;
import org.whinhead.standins.service.ServiceConfig;
import org.whinhead.standins.service.ServiceStandIn;
import org.whinhead.standins.vms.VmEntry;
import org.whinhead.standins.vms.VmListStandIn;
import org.xnio.XnioWorker;

/** Runs daemons, a log, a VM list and a plain service in one process, with clients of each. */
public final class LocalDeployment implements AutoCloseable {

    /** The API key of the customer and of the operator. */
    public static final String KEY = "key-of-the-clinic";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final FailureDomain DOMAIN = new FailureDomain("kigali", "kg-gasabo");
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int IO_THREADS = 2;
    private static final long NO_REVISION = -1;
    private static final String TIER =
            "{'schema':1,'priority':5,'firstTokenMillis':1000,'betweenTokensMillis':1000,"
                    + "'requestTimeoutMillis':30000,'objectives':{'latencyShare':0.99,"
                    + "'availabilityShare':0.99,'windowHours':24}}";
    private static final String SERVICE =
            "{'schema':1,'timeoutMillis':10000,'nonIdempotentPaths':['claims']}";
    private static final String CUSTOMER =
            "{'schema':1,'tier':'/tiers/standard','keyHashes':['sha256:%s'],'weight':1,"
                    + "'tokensPerSecond':1000}";

    private final StandInContext mStandIns = StandInContext.start();
    private final LogStandIn mLog;
    private final ServiceStandIn mService;
    private final VmListStandIn mVms;
    private final LogServiceSettings mLogSettings;
    private final List<XnioWorker> mWorkers = new ArrayList<>();
    private final Set<Integer> mStopped = new HashSet<>();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final HttpClient mClient = HttpClient.newHttpClient();

    /**
     * Creates a deployment without daemons.
     *
     * @param log the log's settings
     * @param logSettings the settings of the daemons' log service
     */
    public LocalDeployment(final LogConfig log, final LogServiceSettings logSettings) {
        mLog = LogStandIn.start(log, mStandIns);
        mService =
                ServiceStandIn.start(ServiceConfig.of("filing", Duration.ofMillis(1)), mStandIns);
        mVms = VmListStandIn.start(0, Duration.ZERO, mStandIns);
        mVms.seed(
                new VmEntry(
                        "vm-filing",
                        "127.0.0.1",
                        DOMAIN,
                        "small",
                        Billing.RECLAIMABLE,
                        false,
                        VmEntry.Role.SERVICE,
                        mService.uri().toString(),
                        "filing",
                        true,
                        64));
        mLogSettings = logSettings;
    }

    /**
     * Starts another daemon.
     *
     * @return the number of the daemon, from 0
     * @throws IOException if its IO threads cannot be started
     */
    public int startDaemon() throws IOException {
        final int number = mDaemons.size();
        final XnioWorker worker = WorkerPool.start("daemon-" + number, IO_THREADS);
        mWorkers.add(worker);
        final HostPort free = new HostPort("127.0.0.1", 0);
        final URI none = URI.create("http://127.0.0.1:1");
        mDaemons.add(
                Daemon.start(
                        DaemonSettings.builder("daemon-" + number)
                                .vm(new VmId("vm-" + number))
                                .domain(DOMAIN)
                                .listen(new ListenAddresses(free, free, free))
                                .publicUri(URI.create("http://127.0.0.1:2/" + number))
                                .platform(new PlatformUris(mLog.uri(), mVms.uri(), none, none))
                                .operators(
                                        List.of(
                                                new OperatorKey(
                                                        "on-call", KeyHashes.hash(KEY), "/")))
                                .build(),
                        DaemonOptions.on(worker).withLog(mLogSettings)));
        return number;
    }

    /**
     * Ends a daemon's input and output at once, like the loss of its VM. The daemon's other threads
     * stay idle until the process ends, as the daemon cannot be closed without its IO threads.
     */
    public void crash(final int daemon) {
        mWorkers.get(daemon).shutdownNow();
        mStopped.add(daemon);
    }

    /** Closes a daemon at once; the daemon gives up its duties. */
    public void stop(final int daemon) {
        mDaemons.get(daemon).close();
        mStopped.add(daemon);
    }

    /** Returns the plain service's address, without a daemon in front of it. */
    public URI serviceUri() {
        return mService.uri();
    }

    /** Returns the number of daemons that were started. */
    public int daemonCount() {
        return mDaemons.size();
    }

    /** Returns a daemon. */
    public Daemon daemon(final int daemon) {
        return mDaemons.get(daemon);
    }

    /**
     * Puts the documents that are needed for serving and waits until every daemon is ready.
     *
     * @throws Exception if a change is refused or a daemon is not ready within 30 s
     */
    public void loadSettings() throws Exception {
        awaitLog(0);
        createDocument("/tiers/standard", TIER);
        createDocument("/services/filing", SERVICE);
        createDocument("/teams/clinics/customers/clinic", customerDocument(KEY));
        for (int i = 0; i < mDaemons.size(); i++) {
            awaitReady(i);
        }
    }

    /**
     * Returns the settings document of a customer.
     *
     * @param key the customer's API key
     * @return the document
     */
    public static String customerDocument(final String key) {
        return String.format(CUSTOMER, KeyHashes.hash(key));
    }

    private void createDocument(final String path, final String document) throws Exception {
        final HttpResponse<String> answer =
                putDocument(0, "load " + path, path, NO_REVISION, document);
        if (answer.statusCode() != 200) {
            throw new IllegalStateException(path + ": " + answer.body());
        }
    }

    /** Waits until a daemon has caught up with the log and the log answers it. */
    public void awaitLog(final int daemon) throws Exception {
        Await.until(
                "daemon " + daemon + " follows the log",
                TIMEOUT,
                () ->
                        status(daemon).at("/log/caughtUp").asBoolean()
                                && status(daemon).at("/log/answering").asBoolean());
    }

    /** Waits until a daemon is ready to serve. */
    public void awaitReady(final int daemon) throws Exception {
        Await.until(
                "daemon " + daemon + " is ready",
                TIMEOUT,
                () -> operatorGet(daemon, "/health/ready").statusCode() == 200);
    }

    /** Waits until a daemon applies a settings revision. */
    public void awaitRevision(final int daemon, final long revision) throws Exception {
        Await.until(
                "daemon " + daemon + " applies revision " + revision,
                TIMEOUT,
                () -> status(daemon).path("settingsRevision").asLong() >= revision);
    }

    /** Returns the status that a daemon reports to operators. */
    public JsonNode status(final int daemon) throws Exception {
        return MAPPER.readTree(operatorGet(daemon, "/operator/status").body());
    }

    /** Sends a GET request to a daemon's operator address. */
    public HttpResponse<String> operatorGet(final int daemon, final String path) throws Exception {
        return send(HttpRequest.newBuilder(mDaemons.get(daemon).operatorUri().resolve(path)));
    }

    /** Returns the settings that a daemon has at a path. */
    public JsonNode settings(final int daemon, final String path) throws Exception {
        final String query = URLEncoder.encode(path, StandardCharsets.UTF_8);
        return MAPPER.readTree(operatorGet(daemon, "/operator/settings?path=" + query).body());
    }

    /**
     * Puts a settings document through a daemon.
     *
     * @param daemon the daemon
     * @param changeId the identifier of the change, which a repeated change has again
     * @param path the path of the document
     * @param base the revision that the document replaces, or -1 for a new document
     * @param document the new document; apostrophes are replaced by quotation marks
     * @return the answer
     * @throws Exception if no answer arrives within 30 s
     */
    public HttpResponse<String> putDocument(
            final int daemon,
            final String changeId,
            final String path,
            final long base,
            final String document)
            throws Exception {
        final ObjectNode body = MAPPER.createObjectNode();
        body.put("changeId", changeId).put("path", path).put("baseRevision", base);
        body.set("document", MAPPER.readTree(document.replace('\'', '"')));
        body.put("author", "amina").put("reason", "test").put("dryRun", false);
        return send(
                HttpRequest.newBuilder(
                                mDaemons.get(daemon).operatorUri().resolve("/operator/settings"))
                        .POST(HttpRequest.BodyPublishers.ofString(body.toString())));
    }

    /**
     * Calls the plain service through a daemon. Paths below {@code claims} are not idempotent.
     *
     * @param daemon the daemon
     * @param path the path below the service
     * @param key the idempotency key
     * @return the answer
     * @throws Exception if no answer arrives within 30 s
     */
    public HttpResponse<String> callService(final int daemon, final String path, final String key)
            throws Exception {
        return send(serviceRequest(daemon, path, key));
    }

    /** Repeats a service call, like a caller that got no answer to its first submission. */
    public HttpResponse<String> repeatServiceCall(
            final int daemon, final String path, final String key) throws Exception {
        return send(serviceRequest(daemon, path, key).header("X-Whinhead-Repeat", "true"));
    }

    private HttpRequest.Builder serviceRequest(
            final int daemon, final String path, final String key) {
        final URI service = mDaemons.get(daemon).callerUri().resolve("/v1/services/filing/");
        return HttpRequest.newBuilder(service.resolve(path))
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("{}"));
    }

    private HttpResponse<String> send(final HttpRequest.Builder request) throws Exception {
        return mClient.send(
                request.timeout(TIMEOUT).header("Authorization", "Bearer " + KEY).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a GET request to the log and returns the HTTP status. */
    public int logStatus(final String path) throws Exception {
        return send(HttpRequest.newBuilder(mLog.uri().resolve(path))).statusCode();
    }

    /** Returns the log stand-in. */
    public LogStandIn log() {
        return mLog;
    }

    /** Returns the number of times that the plain service ran the calls of an idempotency key. */
    public int executionCount(final String key) {
        return mStandIns.workCounter().executions(key);
    }

    @Override
    public void close() {
        for (int i = 0; i < mDaemons.size(); i++) {
            if (!mStopped.contains(i)) {
                mDaemons.get(i).close();
            }
        }
        mLog.close();
        mService.close();
        mVms.close();
        mStandIns.close();
        mWorkers.forEach(XnioWorker::shutdown);
    }
}
