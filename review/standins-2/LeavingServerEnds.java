import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A server drains and then ends while it writes answers that end with their channels. */
final class LeavingServerEnds {

    private static final int STREAMS = 10;
    private static final int EVENTS = 90;

    public static void main(final String[] arguments) throws Exception {
        int result = Scene.NOT_RUN;
        try (Scene scene = new Scene(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = play(scene);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(result);
    }

    private static int play(final Scene scene) throws Exception {
        scene.store.put("keyed.op", "config", Manifest.engines());
        final int port = Scene.freePort();
        final Process old =
                scene.startEngine(
                        "id=i-old", "version=v1", "port=" + port, "framed=false",
                        "events=" + EVENTS, "interval=80");
        final String front = scene.startDaemon();
        scene.startDaemon();
        scene.awaitReady();
        Thread.sleep(3_000);
        final List<Answer> answers = new ArrayList<>();
        final List<Thread> callers = new ArrayList<>();
        for (int stream = 0; stream < STREAMS; stream++) {
            final String id = "a" + stream;
            final Thread caller =
                    new Thread(
                            () -> {
                                final Answer answer =
                                        Answer.call(
                                                front, id, id, "/chat/1", "Key: key-1", "Model: m",
                                                "Token-Count: 500,270", "Deadline-Ms: 15000",
                                                "Prompt-Prefix: 5c1e07a2:172," + id + "f:328");
                                synchronized (answers) {
                                    answers.add(answer);
                                }
                                scene.record.add("consumer: " + answer);
                            });
            scene.record.add("consumer: sends " + id);
            caller.start();
            callers.add(caller);
            Thread.sleep(20);
        }
        Thread.sleep(1_000);
        // The release: the new server is there first, the old one drains and ends.
        scene.startEngine(
                "id=i-new", "version=v2", "port=" + Scene.freePort(), "framed=false",
                "events=" + EVENTS, "interval=80");
        Thread.sleep(1_000);
        if (Scene.hasTrouble()) {
            scene.record.add("platform: the old server drains");
            Scene.order(old, "draining");
            Thread.sleep(3_000);
            scene.record.add("platform: the old server ends");
            old.destroyForcibly();
        }
        for (final Thread caller : callers) {
            caller.join(20_000);
        }
        int cut = 0;
        for (final Answer answer : answers) {
            final boolean early = answer.status == 200 && answer.events().size() < EVENTS;
            if (early && answer.complete) {
                cut++;
            }
        }
        final long whole =
                answers.stream().filter(a -> a.complete && a.events().size() == EVENTS).count();
        scene.record.add(
                "streams " + answers.size() + ", whole " + whole
                        + ", ended as complete before their last event " + cut);
        if (answers.size() < STREAMS || whole + cut == 0 && !Scene.hasTrouble()) {
            return Scene.NOT_RUN;
        }
        return cut > 0 ? Scene.RULE_BROKEN : Scene.RULE_HELD;
    }
}
