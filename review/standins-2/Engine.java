import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server of the platform, a process of its own. It lists itself in the store from its start on,
 * once every heartbeat, and answers requests with a stream of events.
 *
 * <p>Lines on its standard input change its state: "draining [MILLIS]". Its standard output tells
 * what it runs. Options are NAME=VALUE: "first" is the delay of its first entry, which comes at the
 * start unless given; "framed=false" makes its answers end with their channels; with "work" it is
 * a plain service.
 */
final class Engine {

    private final Map<String, String> mOptions = new ConcurrentHashMap<>();
    private final AtomicInteger mSequence = new AtomicInteger();
    private final long mBorn = System.currentTimeMillis();
    private volatile String mState = "ready";
    private volatile String mLeaves = "";
    private final Object mBeat = new Object();

    public static void main(final String[] arguments) throws Exception {
        final Engine engine = new Engine();
        for (final String argument : arguments) {
            final int equals = argument.indexOf('=');
            engine.mOptions.put(argument.substring(0, equals), argument.substring(equals + 1));
        }
        engine.run();
    }

    private String option(final String name, final String other) {
        return mOptions.getOrDefault(name, other);
    }

    private int number(final String name, final int other) {
        return Integer.parseInt(option(name, String.valueOf(other)));
    }

    private void run() throws IOException {
        final ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(
                new java.net.InetSocketAddress(
                        InetAddress.getByName("127.0.0.1"), number("port", 0)),
                500);
        start("beat", this::beat);
        start("orders", this::readOrders);
        say("started " + option("id", "") + " " + option("version", "v1"));
        while (true) {
            final Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            start("request", () -> serve(socket));
        }
    }

    private static void start(final String name, final Runnable task) {
        final Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void say(final String line) {
        synchronized (System.out) {
            System.out.println(line);
            System.out.flush();
        }
    }

    /** Reads orders; ends with the process that gives them. */
    private void readOrders() {
        try {
            for (String line = Wire.line(System.in); line != null; line = Wire.line(System.in)) {
                final String[] words = line.strip().split(" ");
                if (words[0].equals("draining")) {
                    mLeaves = words.length > 1 ? ",\"spot\":true,\"leaves_ms\":" + words[1] : "";
                    mState = "draining";
                    synchronized (mBeat) {
                        mBeat.notifyAll();
                    }
                }
            }
        } catch (IOException e) {
            // The same as its end.
        }
        Runtime.getRuntime().halt(0);
    }

    private void beat() {
        pause(number("first", 0));
        while (true) {
            try {
                list();
                synchronized (mBeat) {
                    mBeat.wait(number("heartbeat", 1200));
                }
            } catch (IOException | InterruptedException e) {
                say("beat failed: " + e);
            }
        }
    }

    private void list() throws IOException {
        final String entry =
                "{\"service\":\"" + option("service", "pool") + "\",\"address\":\"127.0.0.1:"
                        + number("port", 0) + "\",\"zone\":\"zone-a\",\"version\":\""
                        + option("version", "v1") + "\",\"slots\":" + number("slots", 96)
                        + ",\"state\":\"" + mState + "\",\"cold_left_ms\":0,\"seq\":"
                        + mSequence.incrementAndGet() + ",\"born\":" + mBorn + mLeaves + "}";
        final byte[] record = Store.keyed(option("id", ""), entry);
        try (Socket socket = new Socket("127.0.0.1", number("store", 0))) {
            final OutputStream out = socket.getOutputStream();
            final int length = record.length;
            out.write(
                    Wire.ascii(
                            "POST /v1/log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: s\r\n"
                                    + "Content-Length: " + (length + 4) + "\r\n\r\n"));
            out.write(new byte[] {0, 0, (byte) (length >> 8), (byte) length});
            out.write(record);
            out.flush();
            final Wire.Head head = Wire.head(new BufferedInputStream(socket.getInputStream()));
            if (mSequence.get() == 1 || mState.equals("draining")) {
                say("listed " + option("id", "") + " " + option("version", "v1") + " " + mState
                        + " " + (head == null ? "no answer" : head.first()));
            }
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            boolean open = true;
            while (open) {
                final Wire.Head head = Wire.head(in);
                if (head == null) {
                    return;
                }
                Wire.requestBody(in, head);
                open = answer(head, socket);
            }
        } catch (IOException e) {
            // The caller has gone.
        }
    }

    /** Answers a request; returns whether the channel is kept. */
    private boolean answer(final Wire.Head head, final Socket socket) throws IOException {
        final OutputStream out = socket.getOutputStream();
        final String path = head.target();
        if (path.equals("/health")) {
            reply(out, mState.equals("ready") ? 200 : 503, "Instance-Id: " + option("id", ""), "");
            return true;
        }
        if (path.startsWith("/v1/")) {
            reply(out, 404, "X-Call: unknown", "{}");
            return true;
        }
        final String expected = head.field("expect-instance");
        if (expected != null && !expected.equals(option("id", ""))) {
            reply(out, 421, "Instance-Id: " + option("id", ""), "");
            return true;
        }
        return mOptions.containsKey("work") ? plain(head, out) : stream(head, socket);
    }

    /** Answers a request of a plain service after its work. */
    private boolean plain(final Wire.Head head, final OutputStream out) throws IOException {
        final String request = head.field("attempt-id");
        pause(number(head.target().startsWith("/uploads/") ? "upload" : "work", 20));
        reply(
                out,
                200,
                "Attempt-Id: " + request + "\r\nResponse-Stamp: s." + option("id", ""),
                "{\"done\":true}");
        say("ran " + request + " at " + option("id", ""));
        return true;
    }

    private static void reply(
            final OutputStream out, final int status, final String field, final String body)
            throws IOException {
        out.write(
                Wire.ascii(
                        "HTTP/1.1 " + status + " X\r\n" + field + "\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body));
        out.flush();
    }

    private boolean stream(final Wire.Head head, final Socket socket) throws IOException {
        final OutputStream out = socket.getOutputStream();
        final String request = head.field("attempt-id");
        final String last = head.field("last-event-id");
        final int events = number("events", 60);
        final boolean framed = !option("framed", "true").equals("false");
        int event = last == null ? 0 : Integer.parseInt(last);
        say("run " + request + " at " + option("id", "") + " " + option("version", "v1")
                + " from event " + (event + 1));
        out.write(
                Wire.ascii(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: " + request + "\r\nResponse-Stamp: s."
                                + option("id", "") + "\r\nContent-Type: text/event-stream\r\n"
                                + (mState.equals("draining") ? "Server-Leaving: 1\r\n" : "")
                                + (framed
                                        ? "Transfer-Encoding: chunked\r\n\r\n"
                                        : "Connection: close\r\n\r\n")));
        while (event < events) {
            event++;
            final String text =
                    "id: " + event + "\ndata: " + option("version", "v1") + " "
                            + option("id", "") + " " + event + "\n\n";
            out.write(
                    Wire.ascii(
                            framed
                                    ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"
                                    : text));
            out.flush();
            pause(number("interval", 70));
        }
        if (framed) {
            out.write(Wire.ascii("0\r\n\r\n"));
            out.flush();
        }
        say("whole " + request + " at " + option("id", "") + " " + events + " events");
        return framed;
    }

    private static void pause(final int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
