package org.whinhead.standins.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.whinhead.standins.StandInContext;

final class ServiceStandInTest {

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final StandInContext mContext = StandInContext.start();
    private final ServiceStandIn mService =
            ServiceStandIn.start(ServiceConfig.of("filing", Duration.ofMillis(1)), mContext);

    @AfterEach
    void stop() {
        mService.close();
        mContext.close();
    }

    @Test
    void countsOnlyCallsThatRan() throws Exception {
        mService.plan(ServiceFault.REFUSE, 1);
        assertThat(file().statusCode()).isEqualTo(503);
        assertThat(mContext.workCounter().executions("k1")).isZero();
        assertThat(file().body())
                .isEqualTo(
                        "{\"service\":\"filing\",\"path\":\"/claims/new\","
                                + "\"idempotencyKey\":\"k1\",\"execution\":1,"
                                + "\"received\":\"claim\"}");
        mService.plan(ServiceFault.ERROR_AFTER_RUN, 1);
        assertThat(file().statusCode()).isEqualTo(500);
        assertThat(mContext.workCounter().executions("k1")).isEqualTo(2);
    }

    /**
     * A claim is filed, and the connection closes before the response. The caller sees an error
     * although the call ran, so that a second attempt would file the claim twice.
     */
    @Test
    void countsCallWithConnectionClosedAfterRun() {
        mService.plan(ServiceFault.CUT_AFTER_RUN, 1);
        assertThatThrownBy(this::file).isInstanceOf(IOException.class);
        assertThat(mContext.workCounter().executions("k1")).isEqualTo(1);
    }

    private HttpResponse<String> file() throws IOException, InterruptedException {
        final HttpRequest request =
                HttpRequest.newBuilder(mService.uri().resolve("/claims/new"))
                        .header("Idempotency-Key", "k1")
                        .header("X-Request-Id", "r1")
                        .POST(BodyPublishers.ofString("claim"))
                        .build();
        return mClient.send(request, BodyHandlers.ofString());
    }
}
