package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.caller.CallerResponse;
import org.whinhead.gateway.caller.RefusalResponse;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.configuration.CallerLimits;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.configuration.TokenAllowance;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.route.RouteKind;
import org.whinhead.serving.route.WeightedService;

class ExchangesTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final TokenAllowance NO_LIMIT = new TokenAllowance(0, 0, 1);

    private final ServingState mState = TestServing.state(() -> NOW);
    private final Exchanges mExchanges =
            new Exchanges(
                    new EmbeddedChannel().eventLoop(),
                    mState,
                    null,
                    null,
                    new RequestLogger(
                            () -> NOW, new RequestMetrics(), mState.configurationProgress()),
                    null,
                    null);

    /** Keeps the refusal; these tests expect no answer of an endpoint. */
    private static final class RefusalRecorder implements CallerResponse {
        private RefusalResponse mRefusal;

        @Override
        public void start(final EndpointResponse response) {
            throw new IllegalStateException("no endpoint has answered");
        }

        @Override
        public boolean write(final ByteBuf bytes) {
            throw new IllegalStateException("no endpoint has answered");
        }

        @Override
        public void finish() {
            throw new IllegalStateException("no endpoint has answered");
        }

        @Override
        public void abort() {
            throw new IllegalStateException("no endpoint has answered");
        }

        @Override
        public void refuse(final RefusalResponse refusal) {
            mRefusal = refusal;
        }
    }

    @BeforeEach
    void putConfigurationInForce() {
        final Route route =
                Route.builder()
                        .name("post")
                        .match("desk.example", "/posts/")
                        .kind(RouteKind.NON_IDEMPOTENT, false)
                        .times(Duration.ofSeconds(1), Duration.ofMillis(100))
                        .service(new WeightedService("api", 1))
                        .maxAttempts(1)
                        .build();
        final CustomerAccount customer =
                new CustomerAccount("clinic", List.of("key-1"), OptionalInt.empty(), NO_LIMIT);
        mState.offerConfiguration(
                new ServingConfiguration(
                        7, List.of(route), List.of(), CallerLimits.INITIAL, List.of(customer)));
    }

    private RefusalResponse refusalOf(final String target, final String key) {
        final RefusalRecorder response = new RefusalRecorder();
        mExchanges.serve(
                CallerRequest.builder()
                        .id("r-1")
                        .call(HttpMethod.POST, "desk.example", target)
                        .key(Optional.of(key))
                        .forwardedHeaders(new DefaultHttpHeaders())
                        .build(),
                Unpooled.EMPTY_BUFFER,
                response);
        return response.mRefusal;
    }

    @Test
    void whatTheConfigurationDoesNotAllowIsRefusedForGood() {
        assertThat(refusalOf("/new/1", "key-1").status().code()).isEqualTo(404);
        assertThat(refusalOf("/posts/1", "key-2").status().code()).isEqualTo(401);
    }

    // Guards against a proper request that is turned away for good: a route or a key was added, and
    // this daemon knows that it hasn't read the newer configuration yet.
    @Test
    void daemonThatIsBehindRefusesNothingForGood() {
        mState.configurationProgress().recordAnnounced(9, NOW);
        assertThat(refusalOf("/new/1", "key-1").status().code()).isEqualTo(503);
        assertThat(refusalOf("/posts/1", "key-2").status().code()).isEqualTo(503);
        assertThat(refusalOf("/posts/1", "key-2").retryAfter()).isPresent();
    }
}
