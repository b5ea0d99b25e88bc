package org.whinhead.gateway.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.serving.duty.UsageDecider;
import org.whinhead.serving.duty.UsageDecision;

/** Decides on the usage windows that are due, and reports each until the platform accepts it. */
final class UsageReporter {

    private static final Logger LOG = LoggerFactory.getLogger(UsageReporter.class);

    private final ServingState mState;
    private final FencedCloudClient mCloud;
    private final UsageDecider mDecider;
    private final Set<Long> mDeliveredWindows = new HashSet<>();

    /**
     * Creates a reporter that has delivered nothing.
     *
     * @param state the usage and its clock
     * @param cloud receives the reports
     * @param decider decides which windows are due
     */
    UsageReporter(
            final ServingState state, final FencedCloudClient cloud, final UsageDecider decider) {
        mState = state;
        mCloud = cloud;
        mDecider = decider;
    }

    /**
     * Returns the previous decisions, with those delivered since, and the ones that are due.
     *
     * @param previous the decisions that are known
     * @param isUnknown whether a window that was due so long ago may have been decided by another
     *     daemon without this one's knowledge
     */
    List<UsageDecision> decide(
            final List<UsageDecision> previous, final Predicate<Duration> isUnknown) {
        final Instant now = mState.usageClock().instant();
        final List<UsageDecision> decisions =
                mDecider.decide(
                        markDelivered(previous),
                        now,
                        due -> isUnknown.test(Duration.between(due, now)));
        logSkippedWindows(previous, decisions);
        return decisions;
    }

    private List<UsageDecision> markDelivered(final List<UsageDecision> decisions) {
        final List<UsageDecision> marked = new ArrayList<>();
        for (final UsageDecision decision : decisions) {
            marked.add(
                    mDeliveredWindows.contains(decision.window())
                            ? decision.asDelivered()
                            : decision);
        }
        return marked;
    }

    /** Logs windows whose usage is never reported, since no holder decided on them in time. */
    private static void logSkippedWindows(
            final List<UsageDecision> previous, final List<UsageDecision> decisions) {
        if (previous.isEmpty() || decisions.size() == previous.size()) {
            return;
        }
        final long expected = previous.get(previous.size() - 1).window() + 1;
        final long next = decisions.get(previous.size()).window();
        if (next > expected) {
            LOG.atWarn()
                    .addKeyValue("first", expected)
                    .addKeyValue("last", next - 1)
                    .log("usage windows skipped");
        }
    }

    /**
     * Reports the decisions that are not delivered.
     *
     * @param decisions the decisions of the lease's last record
     * @param fencingToken returns the fencing token while the lease may be used
     */
    void reportUndelivered(
            final List<UsageDecision> decisions, final Supplier<Optional<Long>> fencingToken) {
        mDeliveredWindows.retainAll(decisions.stream().map(UsageDecision::window).toList());
        for (final UsageDecision decision : decisions) {
            if (!decision.delivered() && !mDeliveredWindows.contains(decision.window())) {
                fencingToken.get().ifPresent(token -> report(token, decision));
            }
        }
    }

    private void report(final long fencingToken, final UsageDecision decision) {
        mCloud.reportUsage(fencingToken, decision)
                .whenComplete(
                        (accepted, failure) -> {
                            if (failure == null && accepted) {
                                mDeliveredWindows.add(decision.window());
                            }
                            LOG.atInfo()
                                    .addKeyValue("window", decision.window())
                                    .addKeyValue("millisAfterEnd", millisAfterEnd(decision))
                                    .addKeyValue("counts", decision.counts())
                                    .addKeyValue("token", fencingToken)
                                    .addKeyValue("taken", accepted)
                                    .addKeyValue("failure", String.valueOf(failure))
                                    .log("usage reported");
                        });
    }

    private long millisAfterEnd(final UsageDecision decision) {
        final Instant end = mState.usageWindows().endOf(decision.window());
        return Duration.between(end, mState.usageClock().instant()).toMillis();
    }
}
