import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A small deployment: daemons by the command of the deploy file, servers, store and cloud. */
final class Scene implements AutoCloseable {

    static final int RULE_HELD = 0;
    static final int RULE_BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final int LIMIT_MILLIS = 105_000;
    private static final int FIRST_PORT = 15_000;
    private static final int PORTS = 16_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> USED_PORTS = new HashSet<>();

    final CaseRecord record;
    final Store store;
    final Path folder;
    private final Path mRepository;
    private final List<Process> mProcesses = new ArrayList<>();
    private final List<Process> mDaemonProcesses = new ArrayList<>();
    private final List<Integer> mReady = new ArrayList<>();
    private int mDaemons;
    private final int mPeerPort;

    Scene(final Path repository, final Path recordFile) throws IOException {
        mRepository = repository;
        record = new CaseRecord(recordFile);
        store = new Store(record);
        folder = Files.createTempDirectory("review");
        mPeerPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        final Thread limit = new Thread(this::endAfterLimit, "limit");
        limit.setDaemon(true);
        limit.start();
    }

    /** Ends a case that takes too long, with all that it has started, as one that could not run. */
    private void endAfterLimit() {
        try {
            Thread.sleep(LIMIT_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        record.add("ended after " + LIMIT_MILLIS + " ms");
        close();
        Runtime.getRuntime().halt(NOT_RUN);
    }

    /** Returns a port below those that the system gives to outgoing connections. */
    static int freePort() throws IOException {
        for (int tried = 0; tried < 1_000; tried++) {
            final int port = FIRST_PORT + RANDOM.nextInt(PORTS);
            if (USED_PORTS.add(port) && isFree(port)) {
                return port;
            }
        }
        throw new IOException("no free port");
    }

    private static boolean isFree(final int port) {
        for (final String host : List.of("127.0.0.1", "127.0.0.11", "127.0.0.12")) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                socket.getLocalPort();
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    /** Whether the disruption takes place. */
    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Starts a daemon with the command of the deploy file; returns its front address. */
    String startDaemon() throws IOException {
        final String ip = "127.0.0." + (11 + mDaemons);
        final int front = freePort();
        final int ready = freePort();
        final String seeds = "127.0.0.11:" + freePort();
        final Path settings = folder.resolve("daemon-" + mDaemons + ".conf");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "node=edge-zone-a-" + (mDaemons + 1),
                        "role=gateway",
                        "machine_class=edge",
                        "serves=edge,directory",
                        "ip=" + ip,
                        "zone=zone-a",
                        "region=region-1",
                        "zones.zone-a=region-1",
                        "listen.front=" + ip + ":" + front,
                        "listen.ready=" + ip + ":" + ready,
                        "listen.directory=" + ip + ":" + freePort(),
                        "port_range=" + mPeerPort + "," + (mPeerPort + 15),
                        "seeds=" + seeds,
                        "bootstrap=true",
                        "heartbeat_ms=1200",
                        "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,"
                                + "quota,leader,platform",
                        "bounds.contact_ms=3000",
                        "bounds.drain_ms=2000",
                        "bounds.grace_s=8",
                        "bounds.config_apply_ms=2000",
                        "bounds.budget_ratio=0.2",
                        "bounds.budget_window_s=10",
                        "bounds.budget_extra=56",
                        "bounds.quota_window_s=8",
                        "bounds.quota_over=0.1",
                        "bounds.quota_slack=72000",
                        "bounds.require_fence=false",
                        "bounds.lease_ms=3000",
                        "bounds.thaw_slack_ms=300",
                        "bounds.usage_window_s=5",
                        "bounds.usage_late_s=10",
                        "platform.address=127.0.0.1:" + store.port(),
                        "platform.form=log",
                        "cloud.address=127.0.0.1:" + store.port(),
                        ""));
        mReady.add(ready);
        mDaemonProcesses.add(start(mDaemons));
        mDaemons++;
        return ip + ":" + front;
    }

    private Process start(final int daemon) throws IOException {
        final ProcessBuilder builder = new ProcessBuilder(command()).directory(mRepository.toFile());
        builder.environment()
                .put("WHINHEAD_NODE_FILE", folder.resolve("daemon-" + daemon + ".conf").toString());
        final Path log = folder.resolve("daemon-" + daemon + ".log");
        final Process process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        mProcesses.add(process);
        return process;
    }

    /** Kills all daemons at the same moment. */
    void killDaemons() throws InterruptedException {
        mDaemonProcesses.forEach(Process::destroyForcibly);
        for (final Process process : mDaemonProcesses) {
            process.waitFor();
        }
        record.add("all daemons are killed");
    }

    /** Starts all daemons again with their settings. */
    void startDaemonsAgain() throws IOException {
        for (int daemon = 0; daemon < mDaemons; daemon++) {
            mDaemonProcesses.set(daemon, start(daemon));
        }
        record.add("all daemons start again");
    }

    /** Returns the program of the deploy file with its arguments. */
    private List<String> command() throws IOException {
        for (final String line : Files.readAllLines(mRepository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return Arrays.asList(
                        line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no command in the deploy file");
    }

    /** Waits until all daemons are ready. */
    void awaitReady() throws Exception {
        final long end = System.currentTimeMillis() + 30_000;
        for (int daemon = 0; daemon < mDaemons; daemon++) {
            while (!isReady(daemon)) {
                if (System.currentTimeMillis() > end) {
                    throw new IOException("daemon " + daemon + " is not ready");
                }
                Thread.sleep(100);
            }
        }
        record.add("daemons ready");
    }

    private boolean isReady(final int daemon) {
        try (Socket socket = new Socket("127.0.0." + (11 + daemon), mReady.get(daemon))) {
            socket.setSoTimeout(1_000);
            final OutputStream out = socket.getOutputStream();
            out.write(Wire.ascii("GET /v1/readiness HTTP/1.1\r\nHost: r\r\n\r\n"));
            final Wire.Head head = Wire.head(new BufferedInputStream(socket.getInputStream()));
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts a server and records what it tells. */
    Process startEngine(final String... options) throws IOException {
        final List<String> command = new ArrayList<>();
        command.add("java");
        command.addAll(List.of("-Xmx64m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "Engine"));
        command.add("store=" + store.port());
        command.addAll(Arrays.asList(options));
        final Process process =
                new ProcessBuilder(command)
                        .redirectError(folder.resolve("engine.log").toFile())
                        .start();
        mProcesses.add(process);
        final Thread reader =
                new Thread(
                        () -> {
                            try (InputStream in = process.getInputStream()) {
                                for (String line = Wire.line(in);
                                        line != null;
                                        line = Wire.line(in)) {
                                    record.add("server: " + line);
                                }
                            } catch (IOException e) {
                                // The server has ended.
                            }
                        });
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    static void order(final Process engine, final String line) throws IOException {
        engine.getOutputStream().write(Wire.ascii(line + "\n"));
        engine.getOutputStream().flush();
    }

    private void endProcesses() {
        mProcesses.forEach(Process::destroyForcibly);
        for (final Process process : mProcesses) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() {
        endProcesses();
        record.close();
        final String kept = System.getenv("KEEP_LOGS");
        if (kept == null) {
            try (var files = Files.list(folder)) {
                files.forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                return;
            }
            folder.toFile().delete();
        } else {
            System.err.println("logs: " + folder);
        }
    }
}
