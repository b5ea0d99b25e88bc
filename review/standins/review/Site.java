package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, a cloud, daemons, and its servers' entries. */
public final class Site implements AutoCloseable {
    public static final String HOST = "ficu95.example";
    public static final String KEY = "i9n73hh2b9wu3fexd9dn";
    public static final String STREAMS = "/pufi791/";
    public static final String ONCE = "/puxa403/";
    public static final String SAFE = "/cufi504/";
    public static final String LONG = "/lohu930/";

    private final Path mFolder = Files.createTempDirectory("whinhead-review");
    private final Store mStore = new Store();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final Cloud mCloud;
    private final Log mLog;
    private String mPool = "";

    public Site(final Log log) throws IOException {
        mLog = log;
        mCloud = new Cloud(log);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endDaemons));
    }

    public Store store() {
        return mStore;
    }

    public Cloud cloud() {
        return mCloud;
    }

    public Daemon addDaemon(final String storeAddress, final String cloudAddress)
            throws IOException {
        final Daemon daemon =
                new Daemon(
                        Path.of("").toAbsolutePath(),
                        mFolder,
                        mDaemons.size(),
                        storeAddress,
                        cloudAddress);
        mDaemons.add(daemon);
        return daemon;
    }

    public Daemon addDaemon() throws IOException {
        return addDaemon(mStore.address(), "127.0.0.1:" + mCloud.port());
    }

    /** Lets the servers of the streams be ordered by the system, as on the small sites. */
    public void scale() {
        mPool =
                ",\"engine\":{\"slots\":96,\"kv_capacity\":300209,\"kv_token_bytes\":131072,"
                        + "\"link_mbps\":260000.0,\"moves\":true,\"backups\":true,\"stride\":3,"
                        + "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,"
                        + "\"models\":[{\"name\":\"m\"}]},\"scaling\":{\"min\":1,\"max\":4,"
                        + "\"boot_s\":4.0,\"spot_price\":0.22,\"zone_prices\":{\"kg-gasabo\":0.85,"
                        + "\"kg-kicukiro\":1.2,\"kg-nyarugenge\":1.0}}";
    }

    /** Writes the configuration with the time-out of plain requests. */
    public void putConfiguration(final int plainTimeoutMillis) {
        mStore.put(
                "keyed.op",
                "config",
                "{\"version\":7,\"routes\":["
                        + route("r-streams", STREAMS, "streaming", 6_000, 1_000, 1, "huvo11a")
                        + ","
                        + route("r-once", ONCE, "non_idempotent", plainTimeoutMillis, 121, 2, "wuno96b")
                        + ","
                        + route("r-safe", SAFE, "idempotent", plainTimeoutMillis, 121, 2, "wuno96b")
                        + ","
                        + route("r-long", LONG, "idempotent", 15_000, 15_000, 1, "wuno96b")
                        + "],\"services\":["
                        + "{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":500,"
                        + "\"protocol\":\"h1\",\"tls\":false"
                        + mPool
                        + "},"
                        + "{\"name\":\"wuno96b\",\"health_path\":\"/health\",\"max_conns\":110,"
                        + "\"protocol\":\"h1\",\"tls\":false}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\""
                        + KEY
                        + "\"],\"priority\":1,\"unit\":\"token_stream\",\"plain_tokens\":200,"
                        + "\"rate_per_s\":0,\"burst\":0}]}");
    }

    private static String route(
            final String name,
            final String prefix,
            final String kind,
            final int timeoutMillis,
            final int targetMillis,
            final int attempts,
            final String service) {
        return "{\"name\":\""
                + name
                + "\",\"host\":\""
                + HOST
                + "\",\"path_prefix\":\""
                + prefix
                + "\",\"kind\":\""
                + kind
                + "\",\"timeout_ms\":"
                + timeoutMillis
                + ",\"target_latency_ms\":"
                + targetMillis
                + ",\"priority\":2,\"service\":\""
                + service
                + "\",\"max_attempts\":"
                + attempts
                + ",\"public\":false,\"sticky\":false,\"resumable\":false,\"gap_aim_ms\":250}";
    }

    /** Lists a server in the store. */
    public void putServer(
            final String id, final String service, final String address, final int slots) {
        putServer(id, service, address, "kg-gasabo", slots);
    }

    /** Lists a server of a zone in the store. */
    public void putServer(
            final String id,
            final String service,
            final String address,
            final String zone,
            final int slots) {
        mStore.put(
                "keyed.servers",
                id,
                "{\"service\":\""
                        + service
                        + "\",\"address\":\""
                        + address
                        + "\",\"zone\":\""
                        + zone
                        + "\",\"version\":\"v1\",\"slots\":"
                        + slots
                        + ",\"state\":\"ready\",\"cold_left_ms\":0,\"born\":1700000000000,\"seq\":1}");
    }

    private void endDaemons() {
        for (final Daemon daemon : mDaemons) {
            try {
                daemon.end();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Copies the lines of a daemon's log that contain a text into the record. */
    public void quote(final Daemon daemon, final String text, final int most) throws IOException {
        try (Stream<String> lines = Files.lines(daemon.output())) {
            lines.filter(line -> line.contains(text))
                    .limit(most)
                    .forEach(line -> mLog.line("daemon's log: " + line));
        }
    }

    @Override
    public void close() throws IOException {
        endDaemons();
        mStore.close();
        mCloud.close();
        if (System.getenv("KEEP") != null) {
            System.err.println("kept: " + mFolder);
            return;
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            for (final Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
