package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store is away for 3 s and comes back from a copy some seconds old, four times, each 0.1 s
 * after a usage report. Consumers send requests that take 3.5 s.
 */
public final class OlderCopy {
    private static final int DRILLS = 4;
    private static final int START_GAP_MILLIS = 300;
    private static final int AFTER_REPORT_MILLIS = 100;
    private static final int AWAY_MILLIS = 3_000;
    private static final int COPY_AGE_MILLIS = 1_500;
    private static final int CALM_MILLIS = 10_000;
    private static final int CLIENTS = 20;
    private static final int WORK_MILLIS = 3_500;
    private static final int ROUTE_TIMEOUT_MILLIS = 5_000;

    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final AtomicInteger mServed = new AtomicInteger();
    private final Log mLog;

    private OlderCopy(final Log log) {
        mLog = log;
    }

    public static void main(final String[] arguments) throws Exception {
        final int result;
        try (Log log = new Log(Path.of(arguments[0]))) {
            result = new OlderCopy(log).run();
        }
        System.exit(result);
    }

    private int run() throws Exception {
        try (Site site = new Site(mLog)) {
            site.putConfiguration(ROUTE_TIMEOUT_MILLIS);
            for (int number = 1; number <= 3; number++) {
                final PlainServer server = new PlainServer("i-00000a0" + number, 0, this::answer);
                site.putServer(server.id(), "wuno96b", server.address(), 40);
            }
            final List<Daemon> daemons = List.of(site.addDaemon(), site.addDaemon());
            for (final Daemon daemon : daemons) {
                daemon.start();
                Thread.sleep(START_GAP_MILLIS);
            }
            try {
                for (final Daemon daemon : daemons) {
                    daemon.awaitReady(25_000);
                }
            } catch (IOException e) {
                mLog.line("could not run: " + e);
                return 2;
            }
            final AtomicBoolean stop = new AtomicBoolean();
            final ExecutorService clients = Executors.newCachedThreadPool(Store::daemonThread);
            for (int number = 0; number < CLIENTS; number++) {
                final Daemon daemon = daemons.get(number % daemons.size());
                clients.execute(() -> send(daemon, stop));
                Thread.sleep(WORK_MILLIS / CLIENTS);
            }
            for (int drill = 0; drill < DRILLS; drill++) {
                Thread.sleep(CALM_MILLIS);
                if (!awaitUsage(site)) {
                    mLog.line("could not run: no usage report");
                    return 2;
                }
                Thread.sleep(AFTER_REPORT_MILLIS);
                if (mTrouble) {
                    final long copy = System.nanoTime() - COPY_AGE_MILLIS * 1_000_000L;
                    site.store().setDown(true);
                    mLog.line("store away");
                    Thread.sleep(AWAY_MILLIS);
                    site.store().returnToCopy(copy);
                    mLog.line("store back from a copy of " + (AWAY_MILLIS + COPY_AGE_MILLIS) + " ms ago");
                } else {
                    Thread.sleep(AWAY_MILLIS);
                }
            }
            Thread.sleep(CALM_MILLIS);
            stop.set(true);
            clients.shutdown();
            clients.awaitTermination(6, TimeUnit.SECONDS);
            for (final Daemon daemon : daemons) {
                site.quote(daemon, "lease taken", 10);
            }
            return judge(site.cloud().calls());
        }
    }

    /** Waits for the next usage report. */
    private static boolean awaitUsage(final Site site) throws InterruptedException {
        final int before = site.cloud().calls().size();
        for (int turn = 0; turn < 1_200; turn++) {
            final List<Cloud.Call> calls = site.cloud().calls();
            if (calls.subList(before, calls.size()).stream()
                    .anyMatch(call -> call.path().equals("/usage"))) {
                return true;
            }
            Thread.sleep(10);
        }
        return false;
    }

    private int judge(final List<Cloud.Call> calls) {
        final Map<String, Cloud.Call> reports = new HashMap<>();
        int different = 0;
        for (final Cloud.Call call : calls) {
            if (!call.path().equals("/usage")) {
                continue;
            }
            final String window = call.body().substring(0, call.body().indexOf(','));
            final Cloud.Call before = reports.putIfAbsent(window, call);
            if (before != null && !before.body().equals(call.body())) {
                different++;
                mLog.line("ONE: " + call + " after " + before);
            }
        }
        final String sum =
                "requests served " + mServed + ", windows reported " + reports.size()
                        + ", reported again with other counts " + different;
        mLog.line(sum);
        System.out.println(sum);
        mLog.line("VERDICT: " + (different > 0 ? "broken" : "held"));
        return different > 0 ? 1 : 0;
    }

    private boolean answer(final PlainServer.Channel channel, final Http.Head head)
            throws IOException, InterruptedException {
        Http.readBody(channel.in(), head);
        final String id = head.field("Attempt-Id");
        mLog.line("server: runs " + id);
        Thread.sleep(WORK_MILLIS);
        channel.write(
                Http.text(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                                + "\r\nResponse-Stamp: 3e1b.c9f2a4d1\r\nContent-Length: 2\r\n\r\nok"));
        return true;
    }

    private void send(final Daemon daemon, final AtomicBoolean stop) {
        while (!stop.get()) {
            final String id = Client.newId();
            try (Client client = new Client(daemon, 0)) {
                client.send("POST", Site.ONCE, id, ROUTE_TIMEOUT_MILLIS, Http.text("short"));
                final Client.Answer answer = client.read(ROUTE_TIMEOUT_MILLIS + 1_000);
                mLog.line("client: " + id + " answered " + answer.status());
                if (answer.status() == 200) {
                    mServed.incrementAndGet();
                }
            } catch (IOException e) {
                mLog.line("client: " + id + " got no answer: " + e);
            }
        }
    }
}
