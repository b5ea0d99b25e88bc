package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * For 5 s one server of three sends a second answer to one in 34 of its requests. It names that request,
 * says that it was turned away, and arrives where the next response is expected.
 */
public final class ExtraAnswer {
    private static final int SLOTS = 6;
    private static final int QUEUE = 4;
    private static final int ONE_IN = 34;
    private static final int SPELL_MILLIS = 5_000;
    private static final int CLIENTS = 12;
    private static final int ROUNDS = 40;

    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
    private final Map<String, Integer> mStatuses = new ConcurrentHashMap<>();
    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Log mLog;
    private volatile long mUntil;

    private ExtraAnswer(final Log log) {
        mLog = log;
    }

    public static void main(final String[] arguments) throws Exception {
        final int result;
        try (Log log = new Log(Path.of(arguments[0], "record.txt"))) {
            result = new ExtraAnswer(log).run();
        }
        System.exit(result);
    }

    private int run() throws Exception {
        try (Site site = new Site(mLog)) {
            final List<PlainServer> servers = new ArrayList<>();
            for (int number = 1; number <= 3; number++) {
                servers.add(server("i-00000a0" + number, mTrouble && number == 1));
            }
            site.putConfiguration(600);
            for (final PlainServer server : servers) {
                site.putServer(server.id(), "wuno96b", server.address(), SLOTS);
            }
            final Daemon daemon = site.addDaemon();
            daemon.start();
            try {
                daemon.awaitReady(20_000);
            } catch (IOException e) {
                mLog.line("could not run: " + e);
                return 2;
            }
            mUntil = mLog.millis() + SPELL_MILLIS;
            sendAll(daemon);
            Thread.sleep(500);
            return judge();
        }
    }

    /** A server with slots and a short queue, which echoes the request's id in every answer. */
    private PlainServer server(final String id, final boolean doubles) throws IOException {
        final AtomicInteger present = new AtomicInteger();
        final AtomicInteger answers = new AtomicInteger();
        final java.util.concurrent.Semaphore slots = new java.util.concurrent.Semaphore(SLOTS, true);
        return new PlainServer(
                id,
                0,
                (channel, head) -> {
                    Http.readBody(channel.in(), head);
                    final String request = head.field("Attempt-Id");
                    final byte[] late = channel.takeHeld();
                    if (late != null) {
                        mLog.line(id + " late extra answer on the channel of " + request + ": " + new String(late, java.nio.charset.StandardCharsets.ISO_8859_1).lines().limit(3).toList());
                        channel.write(late);
                    }
                    byte[] answer;
                    if (present.incrementAndGet() > SLOTS + QUEUE) {
                        present.decrementAndGet();
                        mLog.line(id + " full, turns away " + request);
                        answer = turnedAway(request);
                    } else {
                        slots.acquire();
                        try {
                            mLog.line(id + " runs " + request);
                            mRuns.computeIfAbsent(request, added -> new AtomicInteger())
                                    .incrementAndGet();
                            Thread.sleep(20);
                        } finally {
                            slots.release();
                            present.decrementAndGet();
                        }
                        answer =
                                Http.text(
                                        "HTTP/1.1 200 OK\r\nAttempt-Id: "
                                                + request
                                                + "\r\nResponse-Stamp: "
                                                + id
                                                + ".c9f2a4d1\r\nContent-Length: 16\r\n\r\n"
                                                + request);
                    }
                    channel.write(answer);
                    if (doubles && mLog.millis() < mUntil && answers.incrementAndGet() % ONE_IN == 0) {
                        channel.hold(turnedAway(request));
                    }
                    return true;
                });
    }

    private static byte[] turnedAway(final String request) {
        return Http.text(
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: "
                        + request
                        + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }

    private void sendAll(final Daemon daemon) throws InterruptedException {
        final ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        for (int number = 0; number < CLIENTS; number++) {
            clients.execute(() -> sendRounds(daemon));
        }
        clients.shutdown();
        clients.awaitTermination(60, TimeUnit.SECONDS);
    }

    private void sendRounds(final Daemon daemon) {
        for (int round = 0; round < ROUNDS; round++) {
            try (Client client = new Client(daemon, 0)) {
                for (int turn = 0; turn < 4; turn++) {
                    final String id = Client.newId();
                    client.send("POST", Site.ONCE, id, 600, Http.text("status=" + id));
                    final Client.Answer answer = client.read(3_000);
                    mStatuses.put(id, answer.status());
                    mLog.line("client: " + id + " answered " + answer.status());
                    if ("close".equalsIgnoreCase(answer.head().field("Connection"))) {
                        break;
                    }
                    Thread.sleep(30);
                }
            } catch (IOException e) {
                mLog.line("client: no answer: " + e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private int judge() {
        final Set<Integer> promises = Set.of(408, 421, 429, 503);
        int twice = 0;
        int promised = 0;
        for (final Map.Entry<String, AtomicInteger> run : mRuns.entrySet()) {
            if (run.getValue().get() > 1) {
                twice++;
                mLog.line("TWICE: " + run.getKey() + " ran " + run.getValue() + " times");
            }
            if (promises.contains(mStatuses.getOrDefault(run.getKey(), 0))) {
                promised++;
                mLog.line("REFUSED: " + run.getKey() + " ran, and was answered "
                        + mStatuses.get(run.getKey()));
            }
        }
        final String sum =
                "requests " + mStatuses.size() + ", run " + mRuns.size() + ", run more than once "
                        + twice + ", run and said not to have run " + promised;
        mLog.line(sum);
        System.out.println(sum);
        mLog.line("VERDICT: " + (twice + promised > 0 ? "broken" : "held"));
        return twice + promised > 0 ? 1 : 0;
    }
}
