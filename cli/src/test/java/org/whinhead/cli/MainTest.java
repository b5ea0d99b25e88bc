package org.whinhead.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

final class MainTest {

    private static final Path FOLDER = Path.of("src/test/resources");
    private static final String TIER = FOLDER.resolve("clerk-tier.json").toString();

    private final FakeDaemon mFirst = new FakeDaemon();
    private final FakeDaemon mSecond = new FakeDaemon();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    @TempDir private Path mFolder;

    @AfterEach
    void stop() {
        mFirst.close();
        mSecond.close();
    }

    // Guards against a change that is applied twice, or reported as lost although it is in force:
    // the first daemon appends it and fails before it responds, and the retry has a new id.
    @Test
    void lostResponseIsRetriedWithTheSameChangeId() throws IOException {
        mFirst.respondWith(404, "{}").closeConnection();
        mSecond.respondWith(200, "{\"revision\": 42}");
        assertThat(run("settings", "put", "/tiers/clerk", TIER, "--reason", "court week"))
                .isEqualTo(0);
        final String sent = mFirst.requests().get(1);
        assertThat(mSecond.requests()).containsExactly(sent);
        assertThat(sent)
                .startsWith("POST /operator/settings Bearer secret {\"changeId\":\"")
                .contains(
                        "\"path\":\"/tiers/clerk\",\"baseRevision\":-1,\"document\":{\"schema\":1")
                .endsWith("\"reason\":\"court week\",\"dryRun\":false}");
        assertThat(out()).endsWith("/tiers/clerk is in force at revision 42\n");
    }

    // Guards against exit code 1, which scripts treat as "not changed", for a change that is in
    // force: the response of the first daemon was lost, and the second daemon refuses the retry.
    @Test
    void lostResponseIsNotReportedAsRefusal() throws IOException {
        mFirst.closeConnection();
        mSecond.respondWith(503, "{\"message\": \"the log is out\", \"verdict\": \"not-run\"}");
        assertThat(run(delete("--base", "7", "--change-id", "a"))).isEqualTo(3);
        assertThat(mSecond.requests().get(0))
                .contains("{\"changeId\":\"a\"")
                .contains("\"baseRevision\":7,\"document\":null");
        assertThat(err())
                .startsWith("Change a\nThe response was lost; the change may be in force.");
    }

    @Test
    void unreachableDaemonIsSkipped() throws IOException {
        final String unreachable;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unreachable = "http://127.0.0.1:" + socket.getLocalPort();
        }
        mFirst.respondWith(200, "{\"able\": false, \"log\": {\"offset\": 7}, \"notUsable\": []}");
        assertThat(runWith(unreachable + "," + mFirst.uri(), "status")).isEqualTo(1);
        assertThat(out()).isEqualTo("able        false\nlog.offset  7\nnotUsable   -\n");
        assertThat(runWith(unreachable, "status")).isEqualTo(3);
        assertThat(err()).startsWith("No daemon responded: " + unreachable);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "403 | {'message': 'not your subtree'} | 1 | Refused with status 403: not your"
                        + " subtree",
                "503 | {'message': 'log out', 'verdict': 'not-run'} | 1"
                        + " | Refused with status 503: log out (verdict: not-run)",
                "409 | {'winningRevision': 43, 'author': 'aline'} | 4"
                        + " | Revision 43 by aline was applied first; read it and put again",
                "422 | {'problems': [{'path': '$.weight', 'message': 'wrong'}, 'other']} | 5"
                        + " | The settings are invalid:~$.weight: wrong~other",
            })
    void responseStatusSetsExitCode(
            final int status, final String body, final int exit, final String message)
            throws IOException {
        mFirst.respondWith(status, body.replace('\'', '"'));
        mSecond.respondWith(status, body.replace('\'', '"'));
        assertThat(run(delete("--base", "7", "--json", "--change-id", "a"))).isEqualTo(exit);
        assertThat(out()).isEmpty();
        assertThat(err()).isEqualTo("Change a\n" + message.replace('~', '\n') + "\n");
    }

    @Test
    void waitsUntilNoDaemonIsMissing() throws IOException {
        mFirst.respondWith(200, "{\"revision\": 42}")
                .respondWith(200, "{\"inForce\": [\"a\"], \"missing\": [\"b\"]}")
                .respondWith(200, "{\"inForce\": [\"a\", \"b\"], \"missing\": []}");
        assertThat(run(delete("--base", "7", "--wait-seconds", "60"))).isEqualTo(0);
        assertThat(out()).endsWith("In force on all 2 daemons\n");
        assertThat(mFirst.requests().get(2))
                .isEqualTo("GET /operator/settings/inforce?revision=42 Bearer secret");
    }

    @Test
    void loadSkipsUnchangedDocuments() throws IOException {
        mFirst.respondWith(200, "{\"revision\": 3, \"document\": {\"schema\": 1, \"priority\": 2}}")
                .respondWith(404, "{\"message\": \"deleted\", \"revision\": 4}")
                .respondWith(200, "{\"revision\": 5}");
        final String list = FOLDER.resolve("two-tiers.json").toString();
        assertThat(run("settings", "load", list, "--reason", "first")).isEqualTo(0);
        assertThat(out())
                .endsWith(
                        "/tiers/urgent is in force at revision 5\n1 documents put, 1 unchanged\n");
        assertThat(mFirst.requests().get(2)).contains("\"baseRevision\":4");
    }

    @Test
    void showsListsAsTables() throws IOException {
        mFirst.respondWith(
                200,
                "{\"revisions\": [{\"revision\": 9, \"author\": \"aline\", \"reason\": \"closed\","
                        + " \"at\": \"2026-12-02T10:00:00Z\", \"document\": null}]}");
        assertThat(run("settings", "history", "/tiers/x y", "--max", "5")).isEqualTo(0);
        assertThat(out())
                .isEqualTo(
                        "REVISION  AT                    AUTHOR  REASON  DOCUMENT\n"
                                + "9         2026-12-02T10:00:00Z  aline   closed  -\n");
        assertThat(mFirst.requests().get(0))
                .startsWith("GET /operator/settings/history?path=%2Ftiers%2Fx+y&max=5 ");
    }

    @Test
    void checkAcceptsExamplesAndListsProblems() throws IOException {
        assertThat(run("settings", "check", "../examples/inkiko", "../examples/mezani"))
                .isEqualTo(0);
        assertThat(out()).isEqualTo("18 files checked, no problem\n");
        mOut.reset();
        assertThat(run("settings", "check", FOLDER.resolve("check").toString())).isEqualTo(5);
        assertThat(out()).isEqualTo(Files.readString(FOLDER.resolve("check.expected.txt")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "settings drop | No such command: settings drop. See whinhead help.",
                "settings get | Usage: whinhead settings get PATH",
                "settings put /a --reason x | Give either FILE or --delete",
                "settings put /a --delete --base 1 | A change needs --reason",
                "settings put /a --delete --base x --reason x | --base needs a number, not x",
                "settings put /a none.json --reason x | Cannot read none.json",
                "status --daemon localhost"
                        + " | Not an address of the form http://host:port: localhost",
                "status --loud | Unrecognized option: --loud. Usage: whinhead status",
            })
    void invalidCommandLineIsReported(final String line, final String message) throws IOException {
        assertThat(run(line.split(" "))).isEqualTo(2);
        assertThat(err()).isEqualTo(message + "\n");
    }

    @ParameterizedTest
    @EnumSource(CommandName.class)
    void everyCommandHasHelp(final CommandName name) throws IOException {
        final String words = name.usage().replaceAll("[A-Z\\[].*", "") + " --help";
        assertThat(run(words.split(" +"))).isEqualTo(0);
        assertThat(out()).startsWith("Usage: whinhead " + name.usage() + " [options]\n");
        if (name == CommandName.SETTINGS_PUT) {
            assertThat(out()).isEqualTo(Files.readString(FOLDER.resolve("help-put.expected.txt")));
        }
    }

    private static String[] delete(final String... more) {
        final List<String> line =
                new ArrayList<>(
                        List.of("settings", "put", "/tiers/x", "--delete", "--reason", "unused"));
        line.addAll(List.of(more));
        return line.toArray(String[]::new);
    }

    private int run(final String... line) throws IOException {
        return runWith(mFirst.uri() + " " + mSecond.uri(), line);
    }

    private int runWith(final String daemons, final String... line) throws IOException {
        final Path key = Files.writeString(mFolder.resolve("key"), "secret\n");
        final String[] whole = Arrays.copyOf(line, line.length + 2);
        final boolean offline = List.of(line).contains("check");
        whole[line.length] = "--key-file";
        whole[line.length + 1] = key.toString();
        return Main.run(
                offline ? line : whole,
                Map.of("WHINHEAD_DAEMON", daemons),
                new PrintStream(mOut, true, StandardCharsets.UTF_8),
                new PrintStream(mErr, true, StandardCharsets.UTF_8));
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }
}
