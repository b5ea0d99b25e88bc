package org.whinhead.demo;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.whinhead.daemon.log.LogServiceSettings;
import org.whinhead.standins.log.LogConfig;

@Timeout(120)
class SharedStateTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String CUSTOMER = "/teams/clinics/customers/clinic";
    private static final int MANY = 1_000_000;

    private LocalDeployment mDeployment;

    private void start(final LogConfig log, final LogServiceSettings logSettings) throws Exception {
        mDeployment = new LocalDeployment(log, logSettings);
        mDeployment.startDaemon();
        mDeployment.startDaemon();
        mDeployment.loadSettings();
    }

    private void start() throws Exception {
        start(LogConfig.DEFAULT, LogServiceSettings.DEFAULT);
    }

    @AfterEach
    void stop() {
        mDeployment.close();
    }

    private static <T> CompletableFuture<T> callAsync(final Callable<T> call) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return call.call();
                    } catch (final Exception e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private static JsonNode json(final HttpResponse<String> response) throws Exception {
        return MAPPER.readTree(response.body());
    }

    private static String verdict(final HttpResponse<String> response) {
        return response.headers().firstValue("X-Whinhead-Verdict").orElse("");
    }

    /**
     * Guards against a doubled run of a non-idempotent call that is sent through two daemons, while
     * the log accepts every append but its answers are lost. The call must run once, and the second
     * submission must not be refused as not run.
     */
    @Test
    void filingRunsOnceThoughTheLogsAnswersAreLost() throws Exception {
        start();
        mDeployment.log().loseAnswers(MANY);
        final var first = callAsync(() -> mDeployment.callService(0, "claims", "case-7"));
        final var second = callAsync(() -> mDeployment.callService(1, "claims", "case-7"));
        final List<HttpResponse<String>> answers = List.of(first.get(), second.get());
        assertThat(answers).filteredOn(answer -> answer.statusCode() == 200).hasSize(1);
        assertThat(answers)
                .filteredOn(answer -> answer.statusCode() != 200)
                .allSatisfy(answer -> assertThat(verdict(answer)).isEqualTo("may-have-run"));
        mDeployment.log().loseAnswers(0);
        final HttpResponse<String> third = mDeployment.callService(1, "claims", "case-7");
        assertThat(json(third).at("/error/code").asText()).isEqualTo("already-claimed");
        assertThat(mDeployment.executionCount("case-7")).isEqualTo(1);
    }

    /**
     * Guards against a late run of a call that was refused as "not run" during a log outage: the
     * daemon's records reach the log after the outage, and the call must still not run. A new
     * submission with the same key then runs.
     */
    @Test
    void filingIsNotRunWhileTheLogIsOut() throws Exception {
        start();
        mDeployment.log().outage(true);
        final HttpResponse<String> refused = mDeployment.callService(0, "claims", "case-8");
        assertThat(json(refused).at("/error/code").asText()).isEqualTo("claim-unavailable");
        assertThat(verdict(refused)).isEqualTo("not-run");
        assertThat(mDeployment.callService(0, "status", "look-1").statusCode()).isEqualTo(200);
        mDeployment.log().outage(false);
        mDeployment.awaitLog(0);
        assertThat(mDeployment.callService(1, "claims", "case-9").statusCode()).isEqualTo(200);
        assertThat(mDeployment.executionCount("case-8")).isZero();
        assertThat(mDeployment.callService(0, "claims", "case-8").statusCode()).isEqualTo(200);
        assertThat(mDeployment.executionCount("case-8")).isEqualTo(1);
    }

    /**
     * Guards against a false "not run" for a repeated submission during a log outage. The first
     * submission may have run on a daemon that crashed before it answered; a caller that receives
     * "not run" would submit again under a new key, and the call would run twice.
     */
    @Test
    void repeatedCallIsRefusedAsMayHaveRun() throws Exception {
        start();
        mDeployment.log().outage(true);
        final HttpResponse<String> first = mDeployment.callService(1, "claims", "case-10");
        final HttpResponse<String> repeat = mDeployment.repeatServiceCall(1, "claims", "case-11");
        assertThat(verdict(first)).isEqualTo("not-run");
        assertThat(verdict(repeat)).isEqualTo("may-have-run");
        assertThat(json(repeat).at("/error/verdict").asText()).isEqualTo("may-have-run");
        assertThat(json(repeat).at("/error/code").asText()).isEqualTo("claim-unavailable");
    }

    /**
     * Guards against lost updates when two operators change one customer at the same time through
     * two daemons. One change wins, and the refusal of the other names the winner. The winning
     * change must succeed again if it is repeated through the other daemon, as after a lost answer.
     */
    @Test
    void racingChangesHaveOneWinnerThatIsInForceEverywhere() throws Exception {
        start();
        final long base = mDeployment.settings(1, CUSTOMER).path("revision").asLong();
        final String document = LocalDeployment.customerDocument(LocalDeployment.KEY);
        final String heavier = document.replace("'weight':1", "'weight':2");
        final var first =
                callAsync(() -> mDeployment.putDocument(0, "a", CUSTOMER, base, document));
        final var second =
                callAsync(() -> mDeployment.putDocument(1, "b", CUSTOMER, base, heavier));
        final boolean firstWon = first.get().statusCode() == 200;
        final HttpResponse<String> winner = firstWon ? first.get() : second.get();
        final HttpResponse<String> loser = firstWon ? second.get() : first.get();
        final long won = json(winner).path("revision").asLong();
        assertThat(winner.statusCode()).isEqualTo(200);
        assertThat(loser.statusCode()).isEqualTo(409);
        assertThat(json(loser).path("winningRevision").asLong()).isEqualTo(won);
        assertThat(json(loser).path("author").asText()).isEqualTo("on-call/amina");
        mDeployment.awaitRevision(0, won);
        mDeployment.awaitRevision(1, won);
        for (int daemon = 0; daemon < 2; daemon++) {
            assertThat(mDeployment.settings(daemon, CUSTOMER).at("/document/weight").asInt())
                    .isEqualTo(firstWon ? 1 : 2);
        }
        final HttpResponse<String> again =
                firstWon
                        ? mDeployment.putDocument(1, "a", CUSTOMER, base, document)
                        : mDeployment.putDocument(0, "b", CUSTOMER, base, heavier);
        assertThat(again.statusCode()).isEqualTo(200);
        assertThat(json(again).path("revision").asLong()).isEqualTo(won);
    }

    /**
     * Guards against reverted settings during and after a log outage. Callers are served by the
     * last settings, and changes are refused as not run; after the outage the settings are the same
     * and changes are accepted again.
     */
    @Test
    void settingsStayInForceDuringLogOutage() throws Exception {
        start();
        final long base = mDeployment.settings(0, CUSTOMER).path("revision").asLong();
        final String document = LocalDeployment.customerDocument(LocalDeployment.KEY);
        mDeployment.log().outage(true);
        Await.until(
                "daemon 0 detects the log outage",
                Duration.ofSeconds(20),
                () -> !mDeployment.status(0).at("/log/answering").asBoolean());
        final HttpResponse<String> refused =
                mDeployment.putDocument(0, "c", CUSTOMER, base, document);
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(json(refused).path("verdict").asText()).isEqualTo("not-run");
        assertThat(mDeployment.callService(0, "status", "look-2").statusCode()).isEqualTo(200);
        assertThat(mDeployment.status(0).path("settingsRevision").asLong()).isEqualTo(base);
        mDeployment.log().outage(false);
        mDeployment.awaitLog(0);
        assertThat(mDeployment.status(0).path("settingsRevision").asLong()).isEqualTo(base);
        final HttpResponse<String> taken =
                mDeployment.putDocument(0, "c", CUSTOMER, base, document);
        assertThat(taken.statusCode()).isEqualTo(200);
    }

    /**
     * Guards against missing settings in a daemon that starts after their records have expired from
     * the log. The daemon must apply the checkpoint and the recent change after it.
     */
    @Test
    void newDaemonCatchesUpFromCheckpointAndTail() throws Exception {
        start(
                new LogConfig("127.0.0.1", 0, 300, Duration.ofSeconds(3)),
                LogServiceSettings.DEFAULT.withCheckpointInterval(Duration.ofMillis(300)));
        Await.until(
                "the first records expire",
                Duration.ofSeconds(60),
                () -> mDeployment.logStatus("/log/fleet/records?from=2") == 410);
        final long base = mDeployment.settings(0, CUSTOMER).path("revision").asLong();
        final String document = LocalDeployment.customerDocument("another key");
        final HttpResponse<String> put = mDeployment.putDocument(0, "d", CUSTOMER, base, document);
        final int replaced = mDeployment.startDaemon();
        mDeployment.awaitReady(replaced);
        mDeployment.awaitRevision(replaced, json(put).path("revision").asLong());
        assertThat(mDeployment.settings(replaced, "/"))
                .isEqualTo(mDeployment.settings(0, "/"))
                .hasSize(3);
        assertThat(mDeployment.callService(replaced, "status", "look-3").statusCode())
                .isEqualTo(401);
    }
}
