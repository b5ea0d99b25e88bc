package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of six model servers is in trouble for 5.5 s, three times: two of five of its streams go over into
 * line ends without end. Consumers abandon a stream after 4 s without an event. Other consumers send short
 * requests to another service, whose servers are sound.
 */
public final class EndlessBody {
    private static final int MODEL_SERVERS = 6;
    private static final int SPELLS = 3;
    private static final int SPELL_MILLIS = 5_500;
    private static final int CALM_MILLIS = 6_000;
    private static final int STREAM_GAP_MILLIS = 100;
    private static final int SPOILED_OF_FIVE = 2;
    private static final int EVENTS = 30;
    private static final int EVENT_MILLIS = 100;
    private static final int ABANDON_MILLIS = 4_000;
    private static final int SHORT_CLIENTS = 6;
    private static final int SHORT_PAUSE_MILLIS = 400;
    private static final int ROUTE_TIMEOUT_MILLIS = 600;
    private static final int LATER_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 4_000;

    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final AtomicInteger mShort = new AtomicInteger();
    private final AtomicInteger mShortServed = new AtomicInteger();
    private final AtomicInteger mAtTimeout = new AtomicInteger();
    private final AtomicInteger mLater = new AtomicInteger();
    private final AtomicInteger mNever = new AtomicInteger();
    private final AtomicInteger mStreams = new AtomicInteger();
    private final AtomicInteger mWhole = new AtomicInteger();
    private final AtomicInteger mSpoiled = new AtomicInteger();
    private final AtomicInteger mAtFaulty = new AtomicInteger();
    private volatile boolean mInTrouble;
    private final Log mLog;

    private EndlessBody(final Log log) {
        mLog = log;
    }

    public static void main(final String[] arguments) throws Exception {
        final int result;
        try (Log log = new Log(Path.of(arguments[0]))) {
            result = new EndlessBody(log).run();
        }
        System.exit(result);
    }

    private int run() throws Exception {
        try (Site site = new Site(mLog)) {
            site.putConfiguration(ROUTE_TIMEOUT_MILLIS);
            for (int number = 1; number <= 3; number++) {
                final PlainServer server = new PlainServer("i-00000a0" + number, 0, this::answer);
                site.putServer(server.id(), "wuno96b", server.address(), 6);
            }
            for (int number = 1; number <= MODEL_SERVERS; number++) {
                final boolean faulty = number == 1;
                final PlainServer server =
                        new PlainServer(
                                "i-00000c0" + number,
                                0,
                                (channel, head) -> stream(channel, head, faulty));
                site.putServer(server.id(), "huvo11a", server.address(), 96);
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
            clients.execute(() -> sendStreams(daemon, clients, stop));
            Thread.sleep(3_000);
            for (int spell = 0; spell < SPELLS; spell++) {
                mInTrouble = mTrouble;
                mLog.line("i-00000c01 in trouble: " + mInTrouble);
                Thread.sleep(SPELL_MILLIS);
                mInTrouble = false;
                mLog.line("i-00000c01 sound again");
                Thread.sleep(CALM_MILLIS);
            }
            stop.set(true);
            Thread.sleep(DEADLINE_MILLIS);
            mLog.line("daemon alive " + daemon.process().isAlive() + ", ready " + daemon.isReady());
            site.quote(daemon, "event loop was busy", 5);
            final String sum =
                    "short requests " + mShort + ", answered 200 " + mShortServed
                            + ", unanswered at their route's timeout_ms " + mAtTimeout
                            + ", still so half a second later " + mLater
                            + ", given up without an answer after 4 s " + mNever
                            + "; streams " + mStreams + ", whole " + mWhole
                            + ", spoiled by their server " + mSpoiled;
            mLog.line(sum);
            System.out.println(sum);
            final boolean broken = mAtTimeout.get() >= 8 && 2 * mLater.get() > mAtTimeout.get();
            mLog.line("VERDICT: " + (broken ? "broken" : "held"));
            return broken ? 1 : 0;
        }
    }

    private boolean stream(
            final PlainServer.Channel channel, final Http.Head head, final boolean faulty)
            throws IOException, InterruptedException {
        Http.readBody(channel.in(), head);
        final String id = head.field("Attempt-Id");
        final boolean spoils = faulty && mAtFaulty.getAndIncrement() % 5 < SPOILED_OF_FIVE;
        mLog.line("server: runs stream " + id);
        channel.write(
                Http.text(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                                + "\r\nResponse-Stamp: 3e1b.c9f2a4d1\r\n"
                                + "Content-Type: text/event-stream\r\n\r\n"));
        for (int event = 1; event <= EVENTS; event++) {
            channel.write(Http.text("id: " + event + "\ndata: t" + event + "\n\n"));
            Thread.sleep(EVENT_MILLIS);
            if (spoils && mInTrouble) {
                mSpoiled.incrementAndGet();
                mLog.line("server: goes over into line ends in stream " + id);
                final byte[] ends = new byte[16_384];
                Arrays.fill(ends, (byte) '\n');
                while (true) {
                    channel.write(ends);
                }
            }
        }
        return false;
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

    private void sendStreams(
            final Daemon daemon, final ExecutorService clients, final AtomicBoolean stop) {
        while (!stop.get()) {
            clients.execute(() -> readStream(daemon));
            try {
                Thread.sleep(STREAM_GAP_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void readStream(final Daemon daemon) {
        final String id = Client.newId();
        int events = 0;
        long lastEvent = System.nanoTime();
        mStreams.incrementAndGet();
        try (Client client = new Client(daemon, 0)) {
            client.send("POST", Site.STREAMS, id, 6_000, Http.text("draft"));
            final InputStream in = client.in();
            client.socket().setSoTimeout(ABANDON_MILLIS);
            Http.readHead(in);
            client.socket().setSoTimeout(100);
            final byte[] bytes = new byte[65_536];
            while (true) {
                try {
                    final int count = in.read(bytes);
                    if (count < 0) {
                        break;
                    }
                    for (int index = 0; index < count; index++) {
                        // One letter of its field id stands in each event; a line end is no event.
                        if (bytes[index] == 'i') {
                            events++;
                            lastEvent = System.nanoTime();
                        }
                    }
                } catch (SocketTimeoutException e) {
                    // The gap is checked below.
                }
                if (System.nanoTime() - lastEvent > ABANDON_MILLIS * 1_000_000L) {
                    mLog.line("client: abandons stream " + id + " after " + events + " events");
                    return;
                }
                if (events == EVENTS) {
                    break;
                }
            }
        } catch (IOException e) {
            mLog.line("client: stream " + id + ": " + e);
        }
        mLog.line("client: stream " + id + " ended after " + events + " events");
        if (events == EVENTS) {
            mWhole.incrementAndGet();
        }
    }

    private void sendShort(final Daemon daemon, final AtomicBoolean stop) {
        while (!stop.get()) {
            try (Client client = new Client(daemon, 0)) {
                while (!stop.get()) {
                    sendShort(client, Client.newId());
                    Thread.sleep(SHORT_PAUSE_MILLIS);
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
