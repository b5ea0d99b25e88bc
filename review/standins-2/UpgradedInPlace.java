import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A server starts again under its id with a newer version of its software. */
final class UpgradedInPlace {

    private static final int EVENTS = 60;

    /** The pause between two servers of a release. */
    private static final int GAP_MILLIS = 800;

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
        final Process first = scene.startEngine(options("i-1", "v1", port));
        final int secondPort = Scene.freePort();
        final Process second = scene.startEngine(options("i-2", "v1", secondPort));
        scene.startEngine(options("i-3", "v2", Scene.freePort()));
        scene.startEngine(options("i-4", "v2", Scene.freePort()));
        final List<String> fronts = new ArrayList<>();
        fronts.add(scene.startDaemon());
        fronts.add(scene.startDaemon());
        scene.awaitReady();
        Thread.sleep(3_000);
        final List<Stream> streams = new ArrayList<>();
        final List<Thread> callers = new ArrayList<>();
        final long start = System.currentTimeMillis();
        boolean restarted = false;
        for (int number = 0; number < 240; number++) {
            final String id = "a" + number;
            final Thread caller =
                    new Thread(
                            () -> {
                                final Stream stream = Stream.read(scene, fronts, id);
                                synchronized (streams) {
                                    streams.add(stream);
                                }
                            });
            caller.start();
            callers.add(caller);
            Thread.sleep(40);
            if (!restarted && System.currentTimeMillis() - start > 4_000 && Scene.hasTrouble()) {
                restarted = true;
                scene.record.add("platform: i-1 is killed and starts again with version v2");
                first.destroyForcibly();
                first.waitFor();
                scene.startEngine(options("i-1", "v2", port, "first=1000"));
                Thread.sleep(GAP_MILLIS);
                scene.record.add("platform: i-2 is killed and starts again with version v2");
                second.destroyForcibly();
                second.waitFor();
                scene.startEngine(options("i-2", "v2", secondPort, "first=1000"));
            }
        }
        for (final Thread caller : callers) {
            caller.join(20_000);
        }
        int mixed = 0;
        int whole = 0;
        for (final Stream stream : streams) {
            mixed += stream.versions.size() > 1 ? 1 : 0;
            whole += stream.events == EVENTS ? 1 : 0;
        }
        scene.record.add(
                "streams " + streams.size() + ", whole " + whole
                        + ", with events of two versions " + mixed);
        if (whole == 0) {
            return Scene.NOT_RUN;
        }
        return mixed > 2 ? Scene.RULE_BROKEN : Scene.RULE_HELD;
    }

    private static String[] options(
            final String id, final String version, final int port, final String... more) {
        final List<String> options = new ArrayList<>(List.of(more));
        options.addAll(
                List.of(
                        "id=" + id, "version=" + version, "port=" + port, "events=" + EVENTS,
                        "interval=70"));
        return options.toArray(new String[0]);
    }

    /** A stream of one consumer, which takes it up once more if its channel breaks. */
    private static final class Stream {
        private final Set<String> versions = new HashSet<>();
        private int events;

        private static Stream read(
                final Scene scene, final List<String> fronts, final String id) {
            final Stream stream = new Stream();
            final int place = Math.floorMod(id.hashCode(), fronts.size());
            final Answer first = call(fronts.get(place), id, id);
            stream.add(scene, first);
            if (!first.complete && stream.events > 0) {
                stream.add(
                        scene,
                        call(
                                fronts.get((place + 1) % fronts.size()),
                                id + "r",
                                id,
                                "Resumes: " + id,
                                "Last-Event-Id: " + stream.events));
            }
            return stream;
        }

        private static Answer call(
                final String front, final String id, final String part, final String... more) {
            final List<String> fields = new ArrayList<>(List.of(more));
            fields.addAll(
                    List.of(
                            "Key: key-1", "Model: m", "Token-Count: 300,180",
                            "Deadline-Ms: 12000", "Prompt-Prefix: " + part + "f:300"));
            return Answer.call(front, id, part, "/drafts/1", fields.toArray(new String[0]));
        }

        private void add(final Scene scene, final Answer answer) {
            answer.events().forEach(event -> versions.add(event.split(" ")[0]));
            events += answer.events().size();
            scene.record.add("consumer: " + answer + ", versions " + versions);
        }
    }
}
