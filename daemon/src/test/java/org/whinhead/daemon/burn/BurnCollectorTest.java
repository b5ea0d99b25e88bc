package org.whinhead.daemon.burn;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.model.Tier;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.daemon.request.CallerReply;
import org.whinhead.report.BurnRecorder;
import org.whinhead.report.Counts;
import org.whinhead.report.DaemonReport;
import org.whinhead.requests.Completion;
import org.whinhead.requests.PlainAnswer;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentPath;
import org.whinhead.settings.deployment.StoredDocument;

/** Checks how ended requests count in the report, and the bound of waiting samples. */
class BurnCollectorTest {

    private static final Instant START = Instant.parse("2026-12-02T16:30:00Z");
    private static final Tier TIER =
            new Tier(
                    "court",
                    5,
                    Duration.ofMillis(400),
                    Duration.ofMillis(40),
                    Duration.ofMinutes(1));
    private static final Customer CUSTOMER =
            new Customer(
                    new CustomerId("clinic"), new TeamId("filing"), TIER, List.of("00"), 1, 1000);
    private static final String DOCUMENT =
            "{\"schema\":1,\"priority\":5,\"firstTokenMillis\":400,\"betweenTokensMillis\":40,"
                    + "\"requestTimeoutMillis\":60000,\"objectives\":{\"latencyShare\":0.95,"
                    + "\"availabilityShare\":0.99,\"windowHours\":720}}";
    private static final DeploymentSettings SETTINGS =
            DeploymentSettings.of(
                    List.of(new StoredDocument(DocumentPath.parse("/tiers/court"), DOCUMENT, 0)));
    private static final Completion COMPLETION = new Completion("stop", 10, 0, 3, 7, 2);

    private Instant mNow = START;
    private final BurnCollector mCollector =
            new BurnCollector(
                    new BurnRecorder(
                            new DaemonId("d1"), URI.create("http://127.0.0.1:7001"), START),
                    () -> mNow,
                    () -> SETTINGS);

    /**
     * The first of three tokens arrives after 300 ms, the others 50 ms apart: the first token meets
     * its target, the time between tokens does not. Tokens of another attempt count as recomputed.
     */
    @Test
    void completedAnswerCountsItsTokensAndLatencies() {
        final MeasuredReply reply = begin();
        answer(reply, 0);
        mCollector.recordEnd(reply, true);

        assertThat(counts()).isEqualTo(new Counts(1, 1, 0, 0, 1, 1, 1, 0, 3, 7));
    }

    /**
     * A caller disconnects while the last bytes of the answer wait for a slow connection. Counted
     * as completed, the answer would lower the reported cost per completed request.
     */
    @Test
    void answerNotFullyWrittenIsNotCompleted() {
        final MeasuredReply reply = begin();
        answer(reply, 0);
        mCollector.recordEnd(reply, false);

        assertThat(counts()).isEqualTo(new Counts(0, 0, 0, 0, 1, 1, 1, 0, 3, 7));
    }

    /**
     * A caller resumes over another connection before the daemon detects the end of the former one.
     * The request must count once, and the first token after the resume must not count as first.
     */
    @Test
    void requestOverTwoConnectionsCountsOnce() {
        final MeasuredReply former = begin();
        former.sendToken(0, "a");
        former.supersede();
        mCollector.recordEnd(former, false);
        final MeasuredReply later = begin();
        mNow = mNow.plusSeconds(5);
        answer(later, 1);
        mCollector.recordEnd(later, true);

        assertThat(counts()).isEqualTo(new Counts(1, 1, 0, 0, 1, 1, 1, 0, 4, 7));
    }

    @Test
    void outcomeFollowsFromTheCauseOfTheEnd() {
        final MeasuredReply left = begin();
        mCollector.recordEnd(left, false);
        final MeasuredReply lost = begin();
        lost.refuse(refusal(ErrorCode.ENDPOINT_LOST, Verdict.MAY_HAVE_RUN));
        mCollector.recordEnd(lost, true);
        final MeasuredReply handed = begin();
        handed.handBack("ticket", refusal(ErrorCode.STOPPING, Verdict.MAY_HAVE_RUN));
        mCollector.recordEnd(handed, true);
        final MeasuredReply broken = begin();
        broken.sendAnswer(new PlainAnswer(500, "text/plain", new byte[0]));
        mCollector.recordEnd(broken, true);
        mCollector.recordRefusal(CUSTOMER, Refusal.notRun(ErrorCode.OVERLOADED, "full"));
        mCollector.recordRefusal(CUSTOMER, Refusal.notRun(ErrorCode.BUDGET_SPENT, "spent"));

        assertThat(counts()).isEqualTo(new Counts(3, 0, 1, 2, 0, 0, 0, 0, 0, 0));
    }

    /**
     * Many requests are refused while the decision thread is busy. Waiting samples must not fill
     * the memory, and the report must contain the number of dropped ones.
     */
    @Test
    void samplesBeyondTheBoundAreDroppedAndReported() {
        final Refusal refusal = Refusal.notRun(ErrorCode.OVERLOADED, "full");
        for (int index = 0; index < BurnCollector.MAX_WAITING_SAMPLES + 5; index++) {
            mCollector.recordRefusal(CUSTOMER, refusal);
        }

        final DaemonReport report = mCollector.report();

        assertThat(report.leftOut()).isEqualTo(5);
        assertThat(report.series().get(0).minutes().get(0).counts().notRun())
                .isEqualTo(BurnCollector.MAX_WAITING_SAMPLES);
        assertThat(mCollector.report().leftOut()).isEqualTo(5);
    }

    private MeasuredReply begin() {
        final RequestSpec spec =
                RequestSpec.builder(new RequestId("r"))
                        .customer(CUSTOMER.id())
                        .tier(TIER)
                        .model(ModelRef.parse("summary@1"))
                        .arrived(mNow)
                        .deadline(mNow.plusSeconds(60))
                        .build();
        return mCollector.measure(spec, new IgnoredReply());
    }

    private void answer(final MeasuredReply reply, final long firstIndex) {
        mNow = mNow.plusMillis(300);
        for (long index = firstIndex; index < firstIndex + 3; index++) {
            reply.sendToken(index, "word ");
        }
        mNow = mNow.plusMillis(100);
        reply.complete(COMPLETION);
    }

    private Counts counts() {
        final DaemonReport report = mCollector.report();
        assertThat(report.objectives()).hasSize(1);
        return report.series().get(0).minutes().stream()
                .map(minute -> minute.counts())
                .reduce(Counts.NONE, Counts::plus);
    }

    private static Refusal refusal(final ErrorCode code, final Verdict verdict) {
        return new Refusal(code, verdict, "detail", Optional.empty());
    }

    private static final class IgnoredReply implements CallerReply {
        @Override
        public void sendToken(final long index, final String text) {}

        @Override
        public void sendTicket(final String ticket) {}

        @Override
        public void complete(final Completion completion) {}

        @Override
        public void sendAnswer(final PlainAnswer answer) {}

        @Override
        public void refuse(final Refusal refusal) {}

        @Override
        public void handBack(final String ticket, final Refusal refusal) {}

        @Override
        public void supersede() {}
    }
}
