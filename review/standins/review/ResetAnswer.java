package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A server answers a long request before it has read the body, with neither a length nor chunks.
 * With trouble, it resets the channel before its answer is whole.
 */
public final class ResetAnswer {
    private static final int REQUESTS = 10;
    private static final int BODY_BYTES = 4 * 1024 * 1024;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final String WHOLE = "filed;" + "x".repeat(3_000) + ";docket=417";

    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Log mLog;

    private ResetAnswer(final Log log) {
        mLog = log;
    }

    public static void main(final String[] arguments) throws Exception {
        final int result;
        try (Log log = new Log(Path.of(arguments[0]))) {
            result = new ResetAnswer(log).run();
        }
        System.exit(result);
    }

    private int run() throws Exception {
        try (Site site = new Site(mLog)) {
            final List<PlainServer> servers = new ArrayList<>();
            for (int number = 1; number <= 3; number++) {
                servers.add(new PlainServer("i-00000a0" + number, 32 * 1024, this::answer));
            }
            site.putConfiguration(DEADLINE_MILLIS);
            for (final PlainServer server : servers) {
                site.putServer(server.id(), "wuno96b", server.address(), 6);
            }
            final Daemon daemon = site.addDaemon();
            daemon.start();
            try {
                daemon.awaitReady(20_000);
            } catch (IOException e) {
                mLog.line("could not run: " + e);
                return 2;
            }
            int broken = 0;
            int served = 0;
            for (int number = 0; number < REQUESTS; number++) {
                final String id = Client.newId();
                try (Client client = new Client(daemon, 0)) {
                    mLog.line("client: sends " + id + " with " + BODY_BYTES + " bytes");
                    client.send("POST", Site.ONCE, id, DEADLINE_MILLIS, new byte[BODY_BYTES]);
                    final Client.Answer answer = client.read(DEADLINE_MILLIS + 1_000);
                    final String body = new String(answer.body());
                    final boolean whole = body.equals(WHOLE);
                    mLog.line(
                            "client: " + id + " answered " + answer.head().line() + ", stamp "
                                    + answer.head().field("Response-Stamp") + ", complete with "
                                    + body.length() + " of " + WHOLE.length() + " bytes");
                    if (answer.status() == 200) {
                        served++;
                        broken += whole ? 0 : 1;
                    }
                } catch (IOException e) {
                    mLog.line("client: " + id + " got no complete answer: " + e);
                }
            }
            site.quote(daemon, "ended with its connection", 3);
            final String sum =
                    "requests " + REQUESTS + ", answered 200 " + served
                            + ", of these with a part of the body " + broken;
            mLog.line(sum);
            System.out.println(sum);
            if (!mTrouble && served < REQUESTS) {
                return 2;
            }
            mLog.line("VERDICT: " + (broken > 0 ? "broken" : "held"));
            return broken > 0 ? 1 : 0;
        }
    }

    private boolean answer(final PlainServer.Channel channel, final Http.Head head)
            throws IOException, InterruptedException {
        final String id = head.field("Attempt-Id");
        final int length = Integer.parseInt(head.field("Content-Length"));
        final String start =
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                        + "\r\nResponse-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                        + "Connection: close\r\n\r\n";
        final int half = WHOLE.length() / 2;
        channel.write(Http.text(start + WHOLE.substring(0, half)));
        mLog.line("server: runs " + id + ", has sent its head and " + half + " bytes");
        Thread.sleep(150);
        if (mTrouble) {
            channel.socket().setSoLinger(true, 0);
            mLog.line("server: resets the channel of " + id);
            return false;
        }
        Http.readExactly(channel.in(), length);
        channel.write(Http.text(WHOLE.substring(half)));
        mLog.line("server: has read " + id + " and sent all of its answer, closes the channel");
        return false;
    }
}
