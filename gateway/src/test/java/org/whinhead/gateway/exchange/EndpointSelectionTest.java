package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointStart;
import org.whinhead.serving.ratelimit.Permit;
import org.whinhead.serving.ratelimit.PermitListener;
import org.whinhead.serving.ratelimit.RequestRateLimit;
import org.whinhead.serving.stream.StreamOrigin;

class EndpointSelectionTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration WAIT = Duration.ofMillis(200);
    private static final StreamOrigin ORIGIN = new StreamOrigin("pool", "v1");

    private Instant mNow = NOW;
    private final ServingState mState = TestServing.state(() -> mNow);
    private final EndpointSelection mSelection = mState.selection();

    private void list(final String id, final String version, final long offset) {
        mState.endpoints()
                .put(
                        EndpointEntry.builder(
                                        id,
                                        "pool",
                                        new InetSocketAddress("127.0.0.1", 9000),
                                        "domain-a")
                                .version(version)
                                .build(),
                        offset);
    }

    @Test
    void newRequestsGoToAllVersionsAndStreamsToTheirs() {
        list("e-1", "v1", 1);
        list("e-2", "v1.1", 2);
        assertThat(mSelection.candidates("pool", "draft", "r-1", false)).hasSize(2);
        assertThat(mSelection.continuationCandidates(ORIGIN))
                .extracting(EndpointEntry::id)
                .containsExactly("e-1");
        assertThat(mSelection.canContinue(ORIGIN)).isTrue();
        assertThat(mSelection.canContinue(new StreamOrigin("pool", "v2"))).isFalse();
    }

    // Guards against sending a request that was placed before its endpoint began to leave.
    @Test
    void requestIsNotSentToEndpointThatHasBegunToLeave() {
        list("e-1", "v1", 1);
        final EndpointEntry endpoint = mState.endpoints().find("e-1").orElseThrow();
        assertThat(mSelection.mayReceive(endpoint)).isTrue();
        mState.endpoints().markLeaving(EndpointStart.of(endpoint));
        assertThat(mSelection.mayReceive(endpoint)).isFalse();
    }

    // Guards against refusing all requests in a wave of reclaims, and against going on so once the
    // endpoint says itself that it leaves.
    @Test
    void endpointWithNoticeServesUntilItSaysThatItLeaves() {
        final EndpointEntry endpoint =
                EndpointEntry.builder(
                                "e-1", "pool", new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                        .leaving(true, Optional.of(Duration.ofSeconds(3)))
                        .build();
        mState.endpoints().put(endpoint, 1);
        mState.leaving().addNotice(endpoint, mNow);
        assertThat(mSelection.mayReceive(endpoint)).isTrue();
        mState.leaving().remove("e-1");
        assertThat(mSelection.mayReceive(endpoint)).isFalse();
    }

    // Guards against work, at its choice or at its sending, for an endpoint that has asked for a
    // pause while another one has room.
    @Test
    void endpointThatHasAskedForPauseGetsNothing() {
        list("e-1", "v1", 1);
        list("e-2", "v1", 2);
        mState.pauses().add("e-1", Duration.ofSeconds(3), mNow);
        assertThat(mSelection.candidates("pool", "draft", "r-1", false))
                .extracting(EndpointEntry::id)
                .containsExactly("e-2");
        assertThat(mSelection.mayReceive(mState.endpoints().find("e-1").orElseThrow())).isFalse();
        assertThat(mSelection.untilPauseEnds("pool")).isEmpty();
    }

    // Guards against a stream that is refused for good, and against requests that wait for room,
    // while all endpoints have asked for a pause.
    @Test
    void pauseOfAllEndpointsHasAnEnd() {
        list("e-1", "v1", 1);
        list("e-2", "v1", 2);
        mState.pauses().add("e-1", Duration.ofSeconds(3), mNow);
        mState.pauses().add("e-2", Duration.ofSeconds(9), mNow);
        assertThat(mSelection.candidates("pool", "draft", "r-1", false)).isEmpty();
        assertThat(mSelection.canContinue(ORIGIN)).isTrue();
        assertThat(mSelection.continuationCandidates(ORIGIN)).isEmpty();
        assertThat(mSelection.isWithoutRoom("pool")).isFalse();
        assertThat(mSelection.isWithoutRoom(ORIGIN)).isFalse();
        assertThat(mSelection.untilPauseEnds("pool").orElseThrow())
                .isBetween(Duration.ofSeconds(3), Duration.ofMillis(3_500));
    }

    private void name(final String id, final double limit) {
        mState.requestLimits()
                .recordAnswer(
                        mState.endpoints().find(id).orElseThrow(),
                        limit < 0 ? Optional.empty() : Optional.of(new RequestRateLimit(limit)),
                        mNow,
                        mNow.plusMillis(1));
    }

    private List<String> withinLimits(final Duration maxWait) {
        return mSelection
                .withinLimits(mSelection.candidates("pool", "draft", "r-1", false), "r-1", maxWait)
                .stream()
                .map(EndpointEntry::id)
                .toList();
    }

    /** Uses up the limit of an endpoint for one interval. */
    private void deny(final String id) {
        mState.permits()
                .claim(
                        id,
                        Duration.ZERO,
                        new PermitListener() {
                            @Override
                            public void granted(final Duration wait, final Permit permit) {
                                throw new AssertionError("a new owner grants nothing at once");
                            }

                            @Override
                            public void denied() {
                                assertThat(mState.permits().deniedCount()).isPositive();
                            }
                        },
                        mNow);
    }

    // Guards against requests that wait, or are refused, at an endpoint with a limit while another
    // one has none.
    @Test
    void endpointWithoutLimitIsLeftOnceLimitIsUsedUp() {
        list("e-1", "v1", 1);
        list("e-2", "v1", 2);
        name("e-1", 1);
        assertThat(withinLimits(WAIT)).containsExactlyInAnyOrder("e-1", "e-2");
        deny("e-1");
        assertThat(withinLimits(WAIT)).containsExactly("e-2");
    }

    @Test
    void requestMayWaitForNextTimeIfAllAreLimited() {
        list("e-1", "v1", 1);
        name("e-1", 1);
        deny("e-1");
        assertThat(withinLimits(WAIT)).isEmpty();
        assertThat(mSelection.untilFree(mSelection.candidates("pool", "draft", "r-1", false)))
                .isEqualTo(Duration.ofSeconds(1));
        mNow = NOW.plusMillis(800);
        assertThat(withinLimits(Duration.ZERO)).isEmpty();
        assertThat(withinLimits(WAIT)).containsExactly("e-1");
    }

    @Test
    void endpointReturnsByDegreesAfterItsLimit() {
        list("e-1", "v1", 1);
        list("e-2", "v1", 2);
        name("e-1", 1);
        mNow = NOW.plusSeconds(1);
        name("e-1", -1);
        assertThat(withinLimits(WAIT)).containsExactly("e-2");
        mNow = NOW.plusSeconds(4);
        assertThat(withinLimits(WAIT)).hasSize(2);
    }

    // Guards against callers that are refused as the only endpoint returns by degrees.
    @Test
    void onlyEndpointReturnsAtOnce() {
        list("e-1", "v1", 1);
        name("e-1", 1);
        mNow = NOW.plusSeconds(1);
        name("e-1", -1);
        assertThat(withinLimits(WAIT)).containsExactly("e-1");
    }

    @Test
    void streamOfUnknownOriginHasNoneWithoutHistory() {
        list("e-1", "v1", 1);
        assertThat(mSelection.onlyOrigin("pool", Duration.ofSeconds(1))).isEmpty();
        mState.versions().recordConfirmed(mState.moment());
        assertThat(mSelection.onlyOrigin("pool", Duration.ZERO)).contains(ORIGIN);
    }
}
