package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers on slow links send bodies of the longest allowed length to one daemon, five a second,
 * while others send short requests on kept channels. Without trouble the bodies have 64 KiB.
 */
public final class LongBodies {
    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final int SHORTER_BODY_BYTES = 65_536;
    private static final int UPLOADS = 100;
    private static final int UPLOAD_GAP_MILLIS = 200;
    private static final int UPLOAD_MILLIS = 10_000;
    private static final int SLICES = 100;
    private static final int SHORT_CLIENTS = 20;
    private static final int ROUTE_TIMEOUT_MILLIS = 1_000;
    private static final int LATER_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 6_000;

    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final AtomicInteger mShort = new AtomicInteger();
    private final AtomicInteger mShortServed = new AtomicInteger();
    private final AtomicInteger mAtTimeout = new AtomicInteger();
    private final AtomicInteger mLater = new AtomicInteger();
    private final AtomicInteger mNever = new AtomicInteger();
    private final AtomicInteger mLongServed = new AtomicInteger();
    private final Log mLog;

    private LongBodies(final Log log) {
        mLog = log;
    }

    public static void main(final String[] arguments) throws Exception {
        final int result;
        try (Log log = new Log(Path.of(arguments[0]))) {
            result = new LongBodies(log).run();
        }
        System.exit(result);
    }

    private int run() throws Exception {
        try (Site site = new Site(mLog)) {
            final List<PlainServer> servers = new ArrayList<>();
            for (int number = 1; number <= 3; number++) {
                servers.add(new PlainServer("i-00000a0" + number, 0, this::answer));
            }
            site.putConfiguration(ROUTE_TIMEOUT_MILLIS);
            for (final PlainServer server : servers) {
                site.putServer(server.id(), "wuno96b", server.address(), 40);
            }
            final Daemon daemon = site.addDaemon();
            daemon.start();
            try {
                daemon.awaitReady(20_000);
            } catch (IOException e) {
                mLog.line("could not run: " + e);
                return 2;
            }
            Thread.sleep(3_000);
            final AtomicBoolean stop = new AtomicBoolean();
            final ExecutorService clients = Executors.newCachedThreadPool(Store::daemonThread);
            for (int number = 0; number < SHORT_CLIENTS; number++) {
                clients.execute(() -> sendShort(daemon, stop));
            }
            Thread.sleep(2_000);
            mLog.line("long requests begin");
            for (int number = 0; number < UPLOADS; number++) {
                clients.execute(() -> sendLong(daemon));
                Thread.sleep(UPLOAD_GAP_MILLIS);
            }
            Thread.sleep(UPLOAD_MILLIS + 3_000);
            stop.set(true);
            clients.shutdown();
            clients.awaitTermination(15, TimeUnit.SECONDS);
            mLog.line("daemon alive " + daemon.process().isAlive() + ", ready " + daemon.isReady());
            site.quote(daemon, "direct buffer memory", 2);
            site.quote(daemon, "event loop was busy", 5);
            final String sum =
                    "short requests " + mShort + ", answered 200 " + mShortServed
                            + ", unanswered at their route's timeout_ms " + mAtTimeout
                            + ", still so half a second later " + mLater
                            + ", given up without an answer after 6 s " + mNever
                            + "; long requests answered 200 " + mLongServed + " of " + UPLOADS;
            mLog.line(sum);
            System.out.println(sum);
            if (!mTrouble && mLongServed.get() < UPLOADS) {
                return 2;
            }
            final boolean broken = mAtTimeout.get() >= 8 && 2 * mLater.get() > mAtTimeout.get();
            mLog.line("VERDICT: " + (broken ? "broken" : "held"));
            return broken ? 1 : 0;
        }
    }

    private boolean answer(final PlainServer.Channel channel, final Http.Head head)
            throws IOException, InterruptedException {
        Http.readBody(channel.in(), head);
        final String id = head.field("Attempt-Id");
        mLog.line("server: runs " + id);
        Thread.sleep(20);
        channel.write(
                Http.text(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                                + "\r\nResponse-Stamp: 3e1b.c9f2a4d1\r\nContent-Length: 800\r\n\r\n"
                                + "x".repeat(800)));
        return true;
    }

    private void sendLong(final Daemon daemon) {
        final String id = Client.newId();
        final int length = mTrouble ? MAX_BODY_BYTES : SHORTER_BODY_BYTES;
        final byte[] slice = new byte[length / SLICES];
        try (Client client = new Client(daemon, 0)) {
            mLog.line("client: begins long " + id + " of " + length + " bytes");
            client.sendHead("POST", Site.LONG, id, 15_000, slice.length * SLICES);
            for (int number = 0; number < SLICES; number++) {
                client.socket().getOutputStream().write(slice);
                Thread.sleep(UPLOAD_MILLIS / SLICES);
            }
            final Client.Answer answer = client.read(10_000);
            mLog.line("client: long " + id + " answered " + answer.status());
            if (answer.status() == 200) {
                mLongServed.incrementAndGet();
            }
        } catch (IOException e) {
            mLog.line("client: long " + id + " got no answer: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendShort(final Daemon daemon, final AtomicBoolean stop) {
        while (!stop.get()) {
            try (Client client = new Client(daemon, 0)) {
                while (!stop.get()) {
                    sendShort(client, Client.newId());
                    Thread.sleep(200);
                }
            } catch (IOException e) {
                mLog.line("client: new channel after: " + e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void sendShort(final Client client, final String id) throws IOException {
        mShort.incrementAndGet();
        final long sentAt = System.nanoTime();
        client.send("POST", Site.ONCE, id, DEADLINE_MILLIS, Http.text("short"));
        String outcome;
        try {
            final Client.Answer answer = client.read(DEADLINE_MILLIS);
            outcome = String.valueOf(answer.status());
            if (answer.status() == 200) {
                mShortServed.incrementAndGet();
            }
        } catch (IOException e) {
            outcome = "none: " + e;
        }
        final long millis = (System.nanoTime() - sentAt) / 1_000_000;
        mLog.line("client: " + id + " after " + millis + " ms: " + outcome);
        if (millis > ROUTE_TIMEOUT_MILLIS) {
            mAtTimeout.incrementAndGet();
        }
        if (millis > ROUTE_TIMEOUT_MILLIS + LATER_MILLIS) {
            mLater.incrementAndGet();
        }
        if (outcome.startsWith("none")) {
            mNever.incrementAndGet();
            throw new IOException("no answer to " + id);
        }
    }
}
