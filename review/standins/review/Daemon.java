package review;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon as a process of its own, started with the command of the deploy file. */
public final class Daemon {
    private final Path mRepository;
    private final Path mSettings;
    private final Path mOutput;
    private final String mIp;
    private final String mName;
    private final int mFront;
    private final int mReady;
    private Process mProcess;

    /** Writes the settings of a machine of a small deployment. */
    public Daemon(
            final Path repository,
            final Path folder,
            final int number,
            final String storeAddress,
            final String cloudAddress)
            throws IOException {
        mRepository = repository;
        mIp = "127.0.0." + (10 + number);
        final List<Integer> ports = freePorts(4);
        mFront = ports.get(0);
        mReady = ports.get(1);
        final int range = freeRange();
        final List<String> zones = List.of("kg-gasabo", "kg-kicukiro", "kg-nyarugenge");
        final String zone = zones.get(number % zones.size());
        mName = "edge-" + zone + "-" + number;
        mSettings = folder.resolve("node-" + number + ".conf");
        mOutput = folder.resolve("node-" + number + ".out");
        Files.writeString(
                mSettings,
                String.join(
                        "\n",
                        "node=edge-" + zone + "-" + number,
                        "role=gateway",
                        "machine_class=edge",
                        "serves=edge,directory",
                        "ip=" + mIp,
                        "zone=" + zone,
                        "region=kigali",
                        "zones.kg-gasabo=kigali",
                        "zones.kg-kicukiro=kigali",
                        "zones.kg-nyarugenge=kigali",
                        "listen.front=" + mIp + ":" + mFront,
                        "listen.ready=" + mIp + ":" + mReady,
                        "listen.control=" + mIp + ":" + ports.get(2),
                        "listen.directory=" + mIp + ":" + ports.get(3),
                        "port_range=" + range + "," + (range + 15),
                        "seeds=",
                        "bootstrap=true",
                        "in_tolerance=false",
                        "limits.cpu_share=0.75",
                        "limits.cores=1",
                        "limits.memory_mb=430",
                        "limits.max_fds=4100",
                        "limits.link_mbps=1000.0",
                        "limits.disk_mb=0",
                        "discovery=platform",
                        "entry=directory",
                        "heartbeat_ms=1200",
                        "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,platform",
                        "fault_tolerance.machines=1",
                        "fault_tolerance.zones=0",
                        "fault_tolerance.regions=0",
                        "bounds.seed_lag_s=3",
                        "bounds.reuse_after_s=2",
                        "bounds.contact_ms=3000",
                        "bounds.ack_ms=4000",
                        "bounds.catch_up_s=4",
                        "bounds.drain_ms=2000",
                        "bounds.grace_s=8",
                        "bounds.loss_slack_ms=200",
                        "bounds.config_apply_ms=2000",
                        "bounds.rollback_slack_ms=250",
                        "bounds.outer_ms=5000",
                        "bounds.strict_revoke=false",
                        "bounds.revoke_ms=5000",
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
                        "bounds.usage_off=0.05",
                        "bounds.usage_late_s=10",
                        "bounds.recover_s=12",
                        "bounds.pass_ms=120",
                        "bounds.again_s=9",
                        "bounds.ttl_max_s=5",
                        "platform.address=" + storeAddress,
                        "platform.form=log",
                        "platform.writes_per_s=400",
                        "platform.reads_per_s=2000",
                        "platform.parts=8",
                        "platform.append_ms=4.0",
                        "platform.part_mb_s=20.0",
                        "platform.read_mb_s=80.0",
                        "platform.record_bytes=262144",
                        "platform.call_bytes=2097152",
                        "platform.keep_s=300",
                        "platform.part_mb=200",
                        "platform.ttl_min_ms=1000",
                        "cloud.address=" + cloudAddress,
                        "cloud.rate_per_s=50.0",
                        "cloud.duties=usage_report,autoscale",
                        "cloud.duty_per_s=50.0",
                        ""));
    }

    private List<Integer> freePorts(final int count) throws IOException {
        final List<ServerSocket> sockets = new ArrayList<>();
        final List<Integer> ports = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(mIp));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (final ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Returns a port that is free with the next one, over TCP and UDP. */
    private int freeRange() throws IOException {
        for (int port = 7600; port < 32_000; port += 16) {
            try (ServerSocket first = new ServerSocket(port, 1, InetAddress.getByName(mIp));
                    ServerSocket second = new ServerSocket(port + 1, 1, InetAddress.getByName(mIp));
                    DatagramSocket datagrams =
                            new DatagramSocket(new InetSocketAddress(mIp, port))) {
                return port;
            } catch (IOException e) {
                // Taken; the next block is tried.
            }
        }
        throw new IOException("no free block of ports");
    }

    public String name() {
        return mName;
    }

    public String ip() {
        return mIp;
    }

    public int front() {
        return mFront;
    }

    public Process process() {
        return mProcess;
    }

    public Path output() {
        return mOutput;
    }

    public void start() throws IOException {
        final ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(mRepository.toFile());
        builder.environment().put("WHINHEAD_NODE_FILE", mSettings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mOutput.toFile()));
        mProcess = builder.start();
    }

    private List<String> command() throws IOException {
        for (final String line : Files.readAllLines(mRepository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" +"));
            }
        }
        throw new IOException("the deploy file has no command");
    }

    /** Waits until the daemon says that it is ready. */
    public void awaitReady(final long millis) throws IOException, InterruptedException {
        final long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("daemon is not ready after " + millis + " ms");
    }

    public boolean isReady() {
        try {
            final HttpURLConnection call =
                    (HttpURLConnection)
                            URI.create("http://" + mIp + ":" + mReady + "/v1/readiness")
                                    .toURL()
                                    .openConnection();
            call.setConnectTimeout(1_000);
            call.setReadTimeout(1_000);
            final boolean ready = call.getResponseCode() == 200;
            call.disconnect();
            return ready;
        } catch (IOException e) {
            return false;
        }
    }

    public void signal(final String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
    }

    public void end() throws InterruptedException {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            mProcess.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
