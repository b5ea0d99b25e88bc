import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Consumers send bodies a little longer than 1 MiB while prompts of 34 KB are being answered. */
final class LongBodies {

    private static final int PROMPTS = 200;
    private static final int PROMPT_BYTES = 34_000;
    private static final int UPLOADS = 100;
    private static final int UPLOAD_BYTES = 1_060_000;
    private static final int SHORTS = 400;
    private static final int SHORT_TIMEOUT_MILLIS = 1_000;
    private static final int ANSWER_SLACK_MILLIS = 500;

    private final Scene mScene;
    private final String mFront;
    private final AtomicInteger mInTime = new AtomicInteger();
    private final AtomicInteger mSoonAfter = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mClosed = new AtomicInteger();

    private LongBodies(final Scene scene) throws Exception {
        mScene = scene;
        scene.store.put("keyed.op", "config", Manifest.enginesAndPlain());
        for (int server = 1; server <= 3; server++) {
            scene.startEngine(
                    "id=i-" + server, "service=api", "port=" + Scene.freePort(), "work=20",
                    "upload=6000", "slots=6");
            scene.startEngine(
                    "id=e-" + server, "service=pool", "port=" + Scene.freePort(), "events=70",
                    "interval=200");
        }
        mFront = scene.startDaemon();
        scene.awaitReady();
        Thread.sleep(3_000);
    }

    public static void main(final String[] arguments) throws Exception {
        int result = Scene.NOT_RUN;
        try (Scene scene = new Scene(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = new LongBodies(scene).play();
        } catch (Throwable e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(result);
    }

    private int play() throws Exception {
        final int uploadBytes = Scene.hasTrouble() ? UPLOAD_BYTES : PROMPT_BYTES;
        final long start = System.currentTimeMillis();
        final List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < SHORTS; number++) {
            final String id = "s" + number;
            threads.add(at(start + number * 50L, () -> callShort(id)));
        }
        for (int number = 0; number < PROMPTS; number++) {
            final String id = "p" + number;
            threads.add(
                    at(start + number * 10L, () -> send("prompt", id, "/chat/1", PROMPT_BYTES, 10)));
        }
        for (int number = 0; number < UPLOADS; number++) {
            final String id = "u" + number;
            threads.add(
                    at(
                            start + 5_000 + number * 50L,
                            () -> send("upload", id, "/uploads/1", uploadBytes, 300)));
        }
        threads.forEach(Thread::start);
        for (final Thread thread : threads) {
            thread.join(60_000);
        }
        mScene.record.add(
                "uploads closed without an answer " + mClosed + "; short requests: ended in "
                        + SHORT_TIMEOUT_MILLIS + " ms " + mInTime + ", in "
                        + ANSWER_SLACK_MILLIS + " ms more " + mSoonAfter + ", not " + mUnanswered);
        if (mInTime.get() == 0) {
            return Scene.NOT_RUN;
        }
        return mUnanswered.get() > mSoonAfter.get() ? Scene.RULE_BROKEN : Scene.RULE_HELD;
    }

    private static Thread at(final long time, final Runnable task) {
        return new Thread(
                () -> {
                    sleepUntil(time);
                    task.run();
                });
    }

    private static void sleepUntil(final long time) {
        try {
            Thread.sleep(Math.max(time - System.currentTimeMillis(), 0));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void callShort(final String id) {
        final Answer answer =
                Answer.call(
                        mFront, id, id, "/checks/1", "Key: key-1",
                        "Deadline-Ms: " + SHORT_TIMEOUT_MILLIS);
        final long taken = answer.millis();
        // What ended by its timeout, also without an answer, is not unanswered at that time.
        if (taken <= SHORT_TIMEOUT_MILLIS) {
            mInTime.incrementAndGet();
        } else if (answer.complete && taken <= SHORT_TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS) {
            mSoonAfter.incrementAndGet();
        } else {
            mUnanswered.incrementAndGet();
        }
        mScene.record.add("short " + answer + ", " + taken + " ms");
    }

    /** Sends a request in ten parts and reads its answer to the end of its head. */
    private void send(
            final String what, final String id, final String path, final int length,
            final int millisPerPart) {
        final String[] address = mFront.split(":");
        String seen;
        try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
            socket.setSoTimeout(30_000);
            final OutputStream out = socket.getOutputStream();
            out.write(
                    Wire.ascii(
                            "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id
                                    + "\r\nKey: key-1\r\nDeadline-Ms: 15000\r\nModel: m\r\n"
                                    + "Token-Count: 300,210\r\nPrompt-Prefix: " + id
                                    + "f:300\r\nContent-Length: " + length + "\r\n\r\n"));
            final byte[] part = new byte[length / 10];
            Arrays.fill(part, (byte) 'x');
            final long start = System.currentTimeMillis();
            for (int sent = 1; sent <= 10; sent++) {
                out.write(part);
                out.flush();
                sleepUntil(start + (long) sent * millisPerPart);
            }
            out.write(new byte[length - 10 * part.length]);
            out.flush();
            final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            final Wire.Head head = Wire.head(in);
            seen = head == null ? "closed without an answer" : head.first();
            if (head != null && "chunked".equals(head.field("transfer-encoding"))) {
                while (Wire.chunk(in).length > 0) {
                    continue;
                }
            }
        } catch (IOException e) {
            seen = e.toString();
        }
        if (seen.startsWith("closed") || seen.contains("reset")) {
            mClosed.incrementAndGet();
        }
        mScene.record.add(what + " " + id + " " + seen);
    }
}
