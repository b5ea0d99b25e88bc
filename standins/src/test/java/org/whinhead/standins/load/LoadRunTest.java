package org.whinhead.standins.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.whinhead.standins.load.caller.CallerConfig;
import org.whinhead.standins.load.mix.Deployment;
import org.whinhead.standins.load.result.LoadResult;
import org.whinhead.standins.load.result.RequestOutcome;
import org.whinhead.standins.load.result.RequestResult;

/** Complete load runs, through the API and through the command line. */
final class LoadRunTest {

    private static final int MIN_STARTED_REQUESTS = 40;

    /** A run that is stopped early, as by the demo, must report every request and key. */
    @Test
    void stoppedRunReportsEveryRequest() throws Exception {
        final CountDownLatch started = new CountDownLatch(MIN_STARTED_REQUESTS);
        final ScriptedDaemon.Script counted =
                call -> {
                    started.countDown();
                    answer(call);
                };
        try (ScriptedDaemon daemon = new ScriptedDaemon(counted)) {
            final LoadRun run =
                    LoadRun.builder(
                                    Deployment.MEZANI.workload(),
                                    CallerConfig.of(List.of(daemon.uri())))
                            .duration(Duration.ofHours(1))
                            .closedLoopCallers(4)
                            .build();
            final CompletableFuture<LoadResult> future = run.start();
            started.await(1, TimeUnit.MINUTES);
            final JsonNode partial =
                    new ObjectMapper()
                            .readTree(new RunResultFormatter(run.currentResult(), true).json());
            assertThat(partial.path("partial").asBoolean()).isTrue();
            assertThat(partial.path("completed").asInt()).isPositive();
            run.stop();
            final LoadResult result = future.get(1, TimeUnit.MINUTES);
            assertThat(result.requests()).hasSameSizeAs(daemon.calls());
            assertThat(result.count(RequestOutcome.COMPLETED)).isEqualTo(result.requests().size());
            assertThat(result.nonIdempotentResults())
                    .isNotEmpty()
                    .extracting(RequestResult::idempotencyKey)
                    .doesNotHaveDuplicates();
            assertThat(result.isGuaranteeKept()).isTrue();
        }
    }

    @Test
    void commandPrintsJsonAsLastLine() throws Exception {
        try (ScriptedDaemon daemon = new ScriptedDaemon(LoadRunTest::answer)) {
            final Command command = new Command("--target", daemon.uri().toString(), "--json");
            assertThat(command.status()).isEqualTo(LoadMain.EXIT_SUCCESS);
            final JsonNode json = command.json();
            assertThat(json.path("requests").asInt()).isEqualTo(daemon.calls().size());
            assertThat(json.path("completed").asInt()).isEqualTo(json.path("requests").asInt());
            assertThat(json.path("accepted").asInt()).isEqualTo(json.path("requests").asInt());
            assertThat(json.path("lost").asInt()).isZero();
            final List<String> keys =
                    daemon.calls().stream()
                            .map(call -> call.header("Idempotency-Key"))
                            .filter(key -> !key.isEmpty())
                            .toList();
            assertThat(keys).isNotEmpty().allMatch(key -> outcome(json, key).equals("completed"));
            assertThat(json.path("partial").asBoolean()).isFalse();
            assertThat(json.path("firstToken").path("p95Millis").asDouble()).isPositive();
            assertThat(json.path("firstTokenByTier").path("court-deadline").path("count").asInt())
                    .isPositive();
        }
    }

    /** Scripts rely on the exit status, so a wrong answer must not give the status of success. */
    @Test
    void commandFailsIfAnAnswerIsWrong() throws Exception {
        final ScriptedDaemon.Script omitsLastToken =
                call -> {
                    if (call.body().path("stream").asBoolean()) {
                        call.sendTokens(0, call.maxTokens() - 1).endStream();
                    } else {
                        answer(call);
                    }
                };
        try (ScriptedDaemon daemon = new ScriptedDaemon(omitsLastToken)) {
            final Command command = new Command("--target", daemon.uri().toString(), "--json");
            assertThat(command.status()).isEqualTo(LoadMain.EXIT_FAILURE);
            assertThat(command.json().path("faults").path("MISSING").asInt())
                    .isPositive()
                    .isEqualTo(command.json().path("wrong").asInt());
        }
    }

    @Test
    void commandReportsInvalidOptions() throws Exception {
        final String target = "http://127.0.0.1:1";
        assertThat(new Command("--target", target, "--rate", "0").errors())
                .isEqualTo("--rate needs an integer of at least 1, but is \"0\"");
        assertThat(new Command("--target", "ftp").errors())
                .isEqualTo("--target must be an http address, but is \"ftp\"");
        assertThat(new Command("--target", target, "--deployment", "x").errors())
                .isEqualTo("--deployment must be inkiko or mezani, but is \"x\"");
        assertThat(new Command("--help").status()).isEqualTo(LoadMain.EXIT_SUCCESS);
    }

    private static String outcome(final JsonNode json, final String key) {
        return json.path("outcomeByIdempotencyKey").path(key).asText();
    }

    private static void answer(final ScriptedDaemon.ReceivedRequest call) throws IOException {
        if (call.path().startsWith("/v1/services/")) {
            call.write("{}");
        } else if (call.body().path("stream").asBoolean()) {
            call.sendTokens(0, call.maxTokens()).endStream();
        } else {
            call.answerWhole();
        }
    }

    /** One execution of the command, with a duration of one second. */
    private static final class Command {
        private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
        private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();
        private final int mStatus;

        Command(final String... arguments) throws Exception {
            final String[] all = new String[arguments.length + 2];
            System.arraycopy(arguments, 0, all, 2, arguments.length);
            all[0] = "--seconds";
            all[1] = "1";
            mStatus = LoadMain.run(new PrintStream(mOut), new PrintStream(mErrors), all);
        }

        int status() {
            return mStatus;
        }

        String errors() {
            return mErrors.toString().trim();
        }

        JsonNode json() throws IOException {
            final List<String> lines = mOut.toString().lines().toList();
            return new ObjectMapper().readTree(lines.get(lines.size() - 1));
        }
    }
}
