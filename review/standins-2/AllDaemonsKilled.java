import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** All daemons are killed at once; consumers take their streams up again once they are back. */
final class AllDaemonsKilled {

    private static final int STREAMS = 24;
    private static final int EVENTS = 100;
    private static final int BUDGET_MILLIS = 15_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int DOWN_MILLIS = 1_000;

    /** The rule counts from so many streams that are taken up again. */
    private static final int LEAST_TAKEN = 12;

    /** The pauses of a consumer before its tries to take a stream up again. */
    private static final int[] PAUSES = {1_500, 2_000, 2_500};

    private final Scene mScene;
    private final List<String> mFronts = new ArrayList<>();
    private final AtomicInteger mTaken = new AtomicInteger();
    private final AtomicInteger mGoOn = new AtomicInteger();
    private final AtomicInteger mNew = new AtomicInteger();
    private final AtomicInteger mBegun = new AtomicInteger();
    private final AtomicInteger mWhole = new AtomicInteger();
    private volatile long mStartedAgainAt;

    private AllDaemonsKilled(final Scene scene) {
        mScene = scene;
    }

    public static void main(final String[] arguments) throws Exception {
        int result = Scene.NOT_RUN;
        try (Scene scene = new Scene(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = new AllDaemonsKilled(scene).play();
        } catch (Throwable e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(result);
    }

    private int play() throws Exception {
        mScene.store.put("keyed.op", "config", Manifest.engines());
        for (int server = 1; server <= 4; server++) {
            mScene.startEngine(
                    "id=i-" + server, "version=" + (server <= 2 ? "v1" : "v2"),
                    "port=" + Scene.freePort(), "events=" + EVENTS, "interval=110");
        }
        for (int daemon = 0; daemon < 3; daemon++) {
            mFronts.add(mScene.startDaemon());
        }
        mScene.awaitReady();
        Thread.sleep(3_000);
        final List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            final String id = "a" + number;
            threads.add(start(() -> readStream(id)));
            Thread.sleep(50);
        }
        Thread.sleep(1_500);
        if (Scene.hasTrouble()) {
            mScene.killDaemons();
            Thread.sleep(DOWN_MILLIS);
            mScene.startDaemonsAgain();
            mStartedAgainAt = System.currentTimeMillis();
            Thread.sleep(CONTACT_MILLIS);
        }
        for (int number = 0; number < STREAMS; number++) {
            final String id = "n" + number;
            threads.add(start(() -> beginStream(id)));
            Thread.sleep(100);
        }
        for (final Thread thread : threads) {
            thread.join(30_000);
        }
        mScene.record.add(
                "first streams whole " + mWhole + " of " + STREAMS
                        + "; at daemons in touch: taken up again " + mTaken + ", went on " + mGoOn
                        + ", new " + mNew + ", began " + mBegun);
        if (mBegun.get() == 0 || Scene.hasTrouble() && mTaken.get() < LEAST_TAKEN) {
            return Scene.NOT_RUN;
        }
        if (mTaken.get() < LEAST_TAKEN) {
            return Scene.RULE_HELD;
        }
        final double goOn = (double) mGoOn.get() / mTaken.get();
        final double begin = (double) mBegun.get() / mNew.get();
        return goOn < begin / 2 ? Scene.RULE_BROKEN : Scene.RULE_HELD;
    }

    private static Thread start(final Runnable task) {
        final Thread thread = new Thread(task);
        thread.start();
        return thread;
    }

    private String front(final String id, final int attempt) {
        return mFronts.get(Math.floorMod(id.hashCode() + attempt, mFronts.size()));
    }

    private static Answer call(
            final String front, final String id, final String part, final long left,
            final String... more) {
        final List<String> fields = new ArrayList<>(List.of(more));
        fields.addAll(
                List.of(
                        "Key: key-1", "Model: m", "Token-Count: 300,300", "Deadline-Ms: " + left,
                        "Prompt-Prefix: " + part + "f:300"));
        return Answer.call(front, id, part, "/drafts/1", fields.toArray(new String[0]));
    }

    /** Reads a stream; if its channel breaks, takes it up again a few times in its time budget. */
    private void readStream(final String id) {
        final long end = System.currentTimeMillis() + BUDGET_MILLIS;
        final Answer first = call(front(id, 0), id, id, BUDGET_MILLIS);
        mScene.record.add("consumer: " + first);
        int events = first.events().size();
        boolean whole = first.complete && events == EVENTS;
        for (int attempt = 0; attempt < PAUSES.length && !whole && events > 0; attempt++) {
            pause(PAUSES[attempt]);
            final long sentAt = System.currentTimeMillis();
            final boolean inTouch =
                    mStartedAgainAt > 0 && sentAt > mStartedAgainAt + CONTACT_MILLIS;
            final Answer answer =
                    call(
                            front(id, attempt + 1), id + "r" + attempt, id, end - sentAt,
                            "Resumes: " + id, "Last-Event-Id: " + events);
            final int more = answer.events().size();
            mScene.record.add(
                    "consumer: takes up " + id + " after event " + events
                            + (inTouch ? " in touch: " : ": ") + answer);
            if (inTouch) {
                mTaken.incrementAndGet();
                mGoOn.addAndGet(more > 0 ? 1 : 0);
            }
            events += more;
            whole = answer.complete && events == EVENTS;
        }
        mWhole.addAndGet(whole ? 1 : 0);
    }

    private void beginStream(final String id) {
        mNew.incrementAndGet();
        final Answer answer = call(front(id, 0), id, id, BUDGET_MILLIS);
        mBegun.addAndGet(answer.events().isEmpty() ? 0 : 1);
        mScene.record.add("consumer: new " + answer);
    }

    private static void pause(final int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
