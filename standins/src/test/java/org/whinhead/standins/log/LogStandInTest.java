package org.whinhead.standins.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.whinhead.standins.StandInContext;

final class LogStandInTest {

    private static final String RECORDS = "{\"records\":[\"eA==\"]}";

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final StandInContext mContext = StandInContext.start();
    private final LogStandIn mLog = LogStandIn.start(LogConfig.DEFAULT, mContext);

    @AfterEach
    void stop() {
        mLog.close();
        mContext.close();
    }

    @Test
    void pendingReadReturnsNextRecord() throws Exception {
        final CompletableFuture<HttpResponse<String>> waiting =
                mClient.sendAsync(
                        request("/log/main/records?from=0&waitMillis=60000").build(),
                        BodyHandlers.ofString());
        assertThat(append().body()).isEqualTo("{\"firstOffset\":0}");
        assertThat(waiting.get().body())
                .startsWith(
                        "{\"oldest\":0,\"next\":1,\"records\":[{\"offset\":0,\"data\":\"eA==\"");
    }

    /**
     * An append takes effect but its response is lost. The writer sees a closed connection and
     * can't know the outcome; a later read must return the record.
     */
    @Test
    void appendWithLostResponseTakesEffect() throws Exception {
        fault("{\"kind\":\"lose-answers\",\"count\":1}");
        assertThatThrownBy(this::append).isInstanceOf(IOException.class);
        assertThat(read().body()).contains("\"next\":1");
    }

    /** During an outage, reads and appends are answered with 503 until the service recovers. */
    @Test
    void outageRefusesAppendsAndReads() throws Exception {
        fault("{\"kind\":\"outage\"}");
        assertThat(append().statusCode()).isEqualTo(503);
        assertThat(read().statusCode()).isEqualTo(503);
        fault("{\"kind\":\"recover\"}");
        assertThat(append().body()).isEqualTo("{\"firstOffset\":0}");
    }

    private void fault(final String command) throws Exception {
        final HttpRequest request =
                request("/faults").POST(BodyPublishers.ofString(command)).build();
        assertThat(mClient.send(request, BodyHandlers.ofString()).statusCode()).isEqualTo(204);
    }

    private HttpResponse<String> append() throws IOException, InterruptedException {
        final HttpRequest request =
                request("/log/main/append").POST(BodyPublishers.ofString(RECORDS)).build();
        return mClient.send(request, BodyHandlers.ofString());
    }

    private HttpResponse<String> read() throws Exception {
        final HttpRequest request = request("/log/main/records?from=0").build();
        return mClient.send(request, BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(final String path) {
        return HttpRequest.newBuilder(mLog.uri().resolve(path));
    }
}
