package org.whinhead.gateway.crash;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.serving.balance.PromptPart;
import org.whinhead.serving.balance.Work;
import org.whinhead.serving.crash.RequestFeature;

class RequestFeaturesTest {

    private static final Optional<String> CUSTOMER = Optional.of("clinic");

    private static CallerRequest request(final String id, final String target) {
        return CallerRequest.builder()
                .id(id)
                .call(HttpMethod.POST, "desk.example", target)
                .forwardedHeaders(new DefaultHttpHeaders())
                .build();
    }

    private static ByteBuf body(final String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private static RequestFeature identify(
            final String id,
            final String target,
            final Optional<String> customer,
            final String body) {
        return RequestFeatures.of(request(id, target), customer, body(body)).get(0).feature();
    }

    @Test
    void attemptsOfOneRequestHaveOneIdentity() {
        assertThat(identify("r-1", "/a/1", CUSTOMER, "x"))
                .isEqualTo(identify("r-2", "/a/1", CUSTOMER, "x"));
    }

    @Test
    void otherRequestsHaveOtherIdentities() {
        final RequestFeature identity = identify("r-1", "/a/1", CUSTOMER, "x");
        assertThat(identify("r-1", "/a/2", CUSTOMER, "x")).isNotEqualTo(identity);
        assertThat(identify("r-1", "/a/1?b", CUSTOMER, "x")).isNotEqualTo(identity);
        assertThat(identify("r-1", "/a/1", CUSTOMER, "y")).isNotEqualTo(identity);
        assertThat(identify("r-1", "/a/1", Optional.of("court"), "x")).isNotEqualTo(identity);
        assertThat(identify("r-1", "/a/1", Optional.empty(), "x")).isNotEqualTo(identity);
    }

    // Guards against texts that are taken for others because their borders move.
    @Test
    void bordersOfTextsCount() {
        assertThat(identify("r-1", "/a", CUSTOMER, "bc"))
                .isNotEqualTo(identify("r-1", "/ab", CUSTOMER, "c"));
    }

    @Test
    void shapeIsKnownWithoutTheDigest() {
        final ByteBuf body = body("x");
        assertThat(RequestFeatures.of(request("r-9", "/a/1"), CUSTOMER, body).get(0).shape())
                .isEqualTo(identify("r-1", "/a/1", CUSTOMER, "y").shape());
        assertThat(body.readableBytes()).isEqualTo(1);
    }

    private static CallerRequest requestWithParts(final String target, final int... parts) {
        return CallerRequest.builder()
                .id("r-1")
                .call(HttpMethod.POST, "desk.example", target)
                .work(
                        new Work(
                                Arrays.stream(parts)
                                        .mapToObj(part -> new PromptPart("p" + part, 10))
                                        .toList(),
                                100,
                                10),
                        OptionalLong.empty())
                .forwardedHeaders(new DefaultHttpHeaders())
                .build();
    }

    private static List<RequestFeature> features(
            final Optional<String> customer, final CallerRequest request) {
        return RequestFeatures.of(request, customer, body("x")).stream()
                .map(FeatureSource::feature)
                .toList();
    }

    // Guards against requests that have nothing in common for the daemons but a prompt part.
    @Test
    void requestsShareTheFeaturesOfTheirParts() {
        final List<RequestFeature> first = features(CUSTOMER, requestWithParts("/a/1", 1, 2, 3));
        final List<RequestFeature> second = features(CUSTOMER, requestWithParts("/a/2", 2, 4));
        assertThat(first).hasSize(7).doesNotHaveDuplicates();
        assertThat(second).filteredOn(first::contains).hasSize(2);
    }

    // Guards against a customer whose parts are held back because another one uses their ids.
    @Test
    void partsOfOtherCustomersAreTheSameAndOtherFeatures() {
        final List<RequestFeature> first = features(CUSTOMER, requestWithParts("/a/1", 1));
        final List<RequestFeature> second =
                features(Optional.of("court"), requestWithParts("/a/1", 1));
        assertThat(second).filteredOn(first::contains).hasSize(1);
    }

    @Test
    void partsInTheMiddleOfLongPromptsAreLeftOut() {
        final int[] parts = IntStream.range(0, 400).toArray();
        final List<FeatureSource> sources =
                RequestFeatures.of(requestWithParts("/a/1", parts), CUSTOMER, body("x"));
        assertThat(sources).hasSize(33);
        assertThat(sources)
                .extracting(FeatureSource::name)
                .contains("request", "part p0", "part p399 of clinic")
                .doesNotContain("part p200");
    }

    // Guards against an exception instead of the record of a crash: the endpoint is found to have
    // crashed after the request has ended, and its body was released.
    @Test
    void hashAndFeatureOutliveTheBody() {
        final ByteBuf body = body("x");
        final FeatureSource source =
                RequestFeatures.of(request("r-1", "/a/1"), CUSTOMER, body).get(0);
        final long hash = source.hash();
        final RequestFeature feature = source.feature();
        body.release();
        assertThat(source.hash()).isEqualTo(hash);
        assertThat(source.feature()).isEqualTo(feature);
    }
}
