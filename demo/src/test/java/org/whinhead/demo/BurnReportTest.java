package org.whinhead.demo;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.whinhead.report.Counts;
import org.whinhead.report.DaemonReport;
import org.whinhead.report.DaemonReportJson;

@Timeout(60)
class BurnReportTest {

    private static final int TOKENS = 20;
    private static final int LONG_ANSWER = 1_000_000;

    /**
     * Guards against counting callers' own errors against the tier: of a completed request, a
     * request for an unknown model and a request whose caller disconnects after the first token,
     * the report must count only the first toward the objective.
     */
    @Test
    void reportCountsEachEndedRequestOnce() throws Exception {
        try (SingleDaemonDeployment deployment = new SingleDaemonDeployment(20)) {
            assertThat(deployment.chat(body("summary", TOKENS)).statusCode()).isEqualTo(200);
            assertThat(deployment.chat(body("other", TOKENS)).statusCode()).isEqualTo(404);
            closeConnectionEarly(deployment);
            Counts counts = Counts.NONE;
            while (counts.firstTokens() < 2) {
                counts = counts(deployment);
            }
            assertThat(counts.counted()).isEqualTo(1);
            assertThat(counts.good()).isEqualTo(1);
            assertThat(counts.generatedTokens()).isBetween((long) TOKENS, (long) LONG_ANSWER);
        }
    }

    private static Counts counts(final SingleDaemonDeployment deployment) throws Exception {
        final HttpResponse<String> response =
                deployment.get(deployment.daemon().operatorUri().resolve("/operator/burn"));
        assertThat(response.statusCode()).isEqualTo(200);
        final DaemonReport report =
                DaemonReportJson.read(new ObjectMapper().readTree(response.body()));
        assertThat(report.objectives()).hasSize(1);
        return report.series().stream()
                .flatMap(series -> series.minutes().stream())
                .map(minute -> minute.counts())
                .reduce(Counts.NONE, Counts::plus);
    }

    @Test
    void reportRequiresOperatorKey() throws Exception {
        try (SingleDaemonDeployment deployment = new SingleDaemonDeployment(20)) {
            final HttpRequest request =
                    HttpRequest.newBuilder(
                                    deployment.daemon().operatorUri().resolve("/operator/burn"))
                            .build();
            assertThat(deployment.send(request).statusCode()).isEqualTo(401);
        }
    }

    private static void closeConnectionEarly(final SingleDaemonDeployment deployment)
            throws Exception {
        final String body = body("summary", LONG_ANSWER);
        try (Socket socket = new Socket(deployment.uri().getHost(), deployment.uri().getPort())) {
            final String request =
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                            + SingleDaemonDeployment.KEY
                            + "\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            final BufferedReader response =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            assertThat(response.readLine()).startsWith("HTTP/1.1 200");
            assertThat(response.lines().anyMatch("id: 0"::equals)).isTrue();
        }
    }

    private static String body(final String model, final int maxTokens) {
        return "{\"model\":\""
                + model
                + "\",\"max_tokens\":"
                + maxTokens
                + ",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"case 12\"}]}";
    }
}
