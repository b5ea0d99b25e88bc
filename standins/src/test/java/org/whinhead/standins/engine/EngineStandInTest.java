package org.whinhead.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.answer.ExpectedAnswer;

final class EngineStandInTest {

    private static final String BODY =
            "{'model':'summary@1','max_tokens':%d,'stream':%s,"
                    + "'messages':[{'role':'system','content':'a b'},"
                    + "{'role':'user','content':'c d'}]}";
    private static final String PROMPT = "a b\nc d";

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final StandInContext mContext = StandInContext.start();
    private final EngineStandIn mEngine = start("one");

    @AfterEach
    void stop() {
        mEngine.close();
        mContext.close();
    }

    @Test
    void streamsOneTokenAnEventAndEndsWithUsage() throws Exception {
        final HttpResponse<Stream<String>> answer = stream(BODY.formatted(5, true));
        assertThat(answer.headers().firstValue("X-Stream-Id")).isPresent();
        final List<String> lines =
                answer.body().filter(line -> !line.isEmpty()).collect(Collectors.toList());
        assertThat(ids(lines)).containsExactly("0", "1", "2", "3", "4");
        assertThat(text(lines)).isEqualTo(expected(0, 5));
        assertThat(lines).last().isEqualTo("data: [DONE]");
        assertThat(lines.get(lines.size() - 2) + lines.get(lines.size() - 3))
                .contains("\"finish_reason\":\"length\"")
                .contains("\"prompt_tokens\":4,\"completion_tokens\":5")
                .contains("\"cached_tokens\":0");
    }

    @Test
    void answersWithCompleteResponse() throws Exception {
        final HttpResponse<String> answer = post("/v1/chat/completions", BODY.formatted(3, false));
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body()).contains("\"content\":\"" + expected(0, 3) + "\"");
    }

    @Test
    void continuesAfterDeliveredText() throws Exception {
        final String body =
                BODY.formatted(2, true)
                        .replace(
                                "]}",
                                ",{'role':'assistant','content':'"
                                        + expected(0, 3)
                                        + "'}],'continue_final_message':true,"
                                        + "'delivered_tokens':3}");
        final List<String> lines = stream(body).body().collect(Collectors.toList());
        assertThat(ids(lines)).containsExactly("3", "4");
        assertThat(text(lines)).isEqualTo(expected(3, 5));
    }

    /**
     * A caller's connection fails during its answer, and the caller reconnects through another
     * daemon with the last received token. The rest must arrive without gaps or repeats.
     */
    @Test
    void resumesAfterLastReceivedToken() throws Exception {
        final HttpResponse<Stream<String>> first = stream(BODY.formatted(6, true));
        final String id = first.headers().firstValue("X-Stream-Id").orElseThrow();
        first.body().close();
        final HttpRequest again =
                HttpRequest.newBuilder(mEngine.uri().resolve("/v1/streams/" + id))
                        .header("Last-Event-ID", "1")
                        .build();
        final List<String> lines =
                mClient.send(again, BodyHandlers.ofLines()).body().collect(Collectors.toList());
        assertThat(ids(lines)).containsExactly("2", "3", "4", "5");
        assertThat(text(lines)).isEqualTo(expected(2, 6));
    }

    /**
     * A reclaim is announced, and a stream's KV cache is exported and imported by another engine.
     * The answer must continue there, and no token may be computed twice.
     */
    @Test
    void continuesOnOtherEngineWithImportedKvCache() throws Exception {
        final EngineStandIn other = start("two");
        final HttpResponse<Stream<String>> first = stream(BODY.formatted(400, true));
        final String id = first.headers().firstValue("X-Stream-Id").orElseThrow();
        final HttpResponse<byte[]> exported =
                mClient.send(
                        HttpRequest.newBuilder(
                                        mEngine.uri().resolve("/v1/streams/" + id + "/export"))
                                .POST(BodyPublishers.noBody())
                                .build(),
                        BodyHandlers.ofByteArray());
        final HttpResponse<String> imported =
                mClient.send(
                        HttpRequest.newBuilder(other.uri().resolve("/v1/streams/import"))
                                .POST(BodyPublishers.ofByteArray(exported.body()))
                                .build(),
                        BodyHandlers.ofString());
        assertThat(imported.body()).isEqualTo("{\"stream_id\":\"two-1\"}");
        final HttpRequest rest =
                HttpRequest.newBuilder(other.uri().resolve("/v1/streams/two-1")).build();
        final List<String> lines =
                mClient.send(rest, BodyHandlers.ofLines()).body().collect(Collectors.toList());
        assertThat(text(lines)).isEqualTo(expected(0, 400));
        assertThat(mContext.workCounter().generatedTokens()).isEqualTo(400);
        assertThat(mContext.workCounter().recomputedTokens()).isZero();
        other.close();
    }

    private EngineStandIn start(final String name) {
        final EngineConfig config = EngineConfig.builder(name).speedUp(20).build();
        return EngineStandIn.start(config, mContext);
    }

    private HttpResponse<Stream<String>> stream(final String body) throws Exception {
        return mClient.send(request("/v1/chat/completions", body), BodyHandlers.ofLines());
    }

    private HttpResponse<String> post(final String path, final String body) throws Exception {
        return mClient.send(request(path, body), BodyHandlers.ofString());
    }

    private HttpRequest request(final String path, final String body) {
        return HttpRequest.newBuilder(mEngine.uri().resolve(path))
                .header("X-Request-Id", "r1")
                .POST(BodyPublishers.ofString(body.replace('\'', '"')))
                .build();
    }

    private static String expected(final int from, final int to) {
        return String.join("", ExpectedAnswer.tokens(PROMPT, to).subList(from, to));
    }

    private static List<String> ids(final List<String> lines) {
        return lines.stream()
                .filter(line -> line.startsWith("id: "))
                .map(line -> line.substring(4))
                .collect(Collectors.toList());
    }

    private static String text(final List<String> lines) {
        return lines.stream()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> line.replaceAll(".*\"content\":\"([^\"]*)\".*", "$1"))
                .collect(Collectors.joining());
    }
}
