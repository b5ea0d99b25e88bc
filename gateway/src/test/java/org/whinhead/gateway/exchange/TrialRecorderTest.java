package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.balance.Work;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.rollout.RolloutOrder;
import org.whinhead.serving.rollout.RouteOutcomes;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.route.RouteKind;
import org.whinhead.serving.route.WeightedService;

class TrialRecorderTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Route ROUTE =
            Route.builder()
                    .name("post")
                    .match("desk.example", "/posts/")
                    .kind(RouteKind.NON_IDEMPOTENT, false)
                    .times(Duration.ofSeconds(1), Duration.ofMillis(100))
                    .service(new WeightedService("pool", 1))
                    .maxAttempts(1)
                    .build();

    private Instant mNow = START;
    private final ServingState mState = TestServing.state(() -> mNow, true);
    private final TrialRecorder mRecorder = new TrialRecorder(mState, ROUTE);

    @BeforeEach
    void sendRequestDuringRollout() {
        final EndpointEntry endpoint = TestServing.endpoint("e-1", false);
        mState.rollouts().addOrder(new RolloutOrder("pool", "v2", Duration.ofSeconds(12), 1));
        mRecorder.attemptSent(
                mState.chooser()
                        .place(List.of(endpoint), Work.PLAIN, Set.of(), false, mNow)
                        .orElseThrow());
        mNow = START.plusMillis(600);
    }

    private long countedAnswers() {
        return mState.rollouts().collectEvidence("self").get(0).outcomes().stream()
                .mapToLong(TrialRecorderTest::answers)
                .sum();
    }

    private static long answers(final RouteOutcomes outcomes) {
        return outcomes.failed() + outcomes.times().stream().mapToLong(Long::longValue).sum();
    }

    @Test
    void answerThatIsNoLongerAwaitedIsSlow() {
        mRecorder.attemptAbandoned();
        assertThat(countedAnswers()).isEqualTo(1);
    }

    // Guards against turning a good version back since a daemon was cut off from its endpoints: the
    // answers that got lost on the way counted as slow ones.
    @Test
    void answerThatIsLostOnTheWayDoesNotCount() {
        mRecorder.pathLost();
        mRecorder.attemptAbandoned();
        assertThat(countedAnswers()).isZero();
    }
}
