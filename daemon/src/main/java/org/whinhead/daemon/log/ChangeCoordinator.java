package org.whinhead.daemon.log;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.deployment.DocumentPath;
import org.whinhead.settings.deployment.DocumentValidator;
import org.whinhead.settings.deployment.ValidationResult;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordSink;
import org.whinhead.state.settings.ChangeOutcome;
import org.whinhead.state.settings.SettingRevision;
import org.whinhead.state.settings.SettingsState;

/** Publishes changes of settings and returns the fold's decisions; on the log thread. */
final class ChangeCoordinator {

    private static final int MAX_PENDING = 1_024;
    private static final String NOT_KNOWN = "settings.not-known";
    private static final String ROOT = "$";

    private final RecordSink mSink;
    private final Duration mTimeout;
    private final Map<String, Pending> mPending = new LinkedHashMap<>();

    ChangeCoordinator(final RecordSink sink, final Duration timeout) {
        mSink = sink;
        mTimeout = timeout;
    }

    /**
     * Submits a change.
     *
     * @param change the change
     * @param result completed exactly once, with the decision or the failure
     * @param snapshot the state read from the log
     * @param logAnswering whether the log's last answer was not a failure
     * @param now the current time
     */
    void submit(
            final SettingsChange change,
            final CompletableFuture<ChangeResult> result,
            final LogSnapshot snapshot,
            final boolean logAnswering,
            final Instant now) {
        final SettingsState state = snapshot.fold().state().settings();
        final Optional<ChangeOutcome> decided = state.outcome(change.changeId());
        if (decided.isPresent()) {
            result.complete(toResult(decided.get(), state));
            return;
        }
        final Pending pending = mPending.get(change.changeId());
        if (pending != null) {
            pending.results().add(result);
            return;
        }
        final Optional<ChangeResult> earlyResult =
                checkBeforeAppend(change, snapshot, logAnswering);
        if (earlyResult.isPresent()) {
            result.complete(earlyResult.get());
        } else {
            append(change, result, now);
        }
    }

    private Optional<ChangeResult> checkBeforeAppend(
            final SettingsChange change, final LogSnapshot snapshot, final boolean logAnswering) {
        if (!snapshot.fold().caughtUp() || snapshot.fold().blocked()) {
            return Optional.of(notPublished("the settings have not been read from the log yet"));
        }
        final SettingsState state = snapshot.fold().state().settings();
        final long inForce = state.revisionNumber(change.path());
        // A lower revision may only mean that this daemon lags; the fold decides then.
        if (inForce > change.baseRevision()) {
            return Optional.of(new ChangeResult.Conflict(inForce, author(state, change.path())));
        }
        final List<SettingsProblem> problems = findProblems(change, snapshot);
        if (!problems.isEmpty()) {
            return Optional.of(new ChangeResult.Invalid(problems));
        }
        if (change.dryRun()) {
            return Optional.of(new ChangeResult.InForce(inForce));
        }
        if (!logAnswering || mPending.size() >= MAX_PENDING) {
            return Optional.of(notPublished("the log does not answer"));
        }
        return Optional.empty();
    }

    private static List<SettingsProblem> findProblems(
            final SettingsChange change, final LogSnapshot snapshot) {
        final ValidationResult validation =
                DocumentValidator.validate(change.path(), change.document(), snapshot.settings());
        if (validation.canBePublished()) {
            return List.of();
        }
        final List<SettingsProblem> problems = new ArrayList<>(validation.problems());
        if (!validation.known()) {
            problems.add(
                    SettingsProblem.of(ROOT, NOT_KNOWN, DocumentPath.parse(change.path()).name()));
        }
        return problems;
    }

    private void append(
            final SettingsChange change,
            final CompletableFuture<ChangeResult> result,
            final Instant now) {
        final boolean queued =
                mSink.offer(
                                id ->
                                        new LogRecord.SettingChanged(
                                                id,
                                                change.changeId(),
                                                change.path(),
                                                change.baseRevision(),
                                                change.document(),
                                                change.author(),
                                                change.reason(),
                                                now),
                                now)
                        .isPresent();
        if (!queued) {
            result.complete(notPublished("too many changes are waiting for the log"));
            return;
        }
        final List<CompletableFuture<ChangeResult>> results = new ArrayList<>();
        results.add(result);
        mPending.put(change.changeId(), new Pending(results, now.plus(mTimeout)));
    }

    /** Completes the pending changes that the fold has decided. */
    void completeDecided(final SettingsState state) {
        if (mPending.isEmpty()) {
            return;
        }
        final Map<String, ChangeOutcome> outcomes = new HashMap<>();
        state.outcomes().forEach(outcome -> outcomes.put(outcome.changeId(), outcome));
        mPending.entrySet()
                .removeIf(
                        entry -> {
                            final ChangeOutcome outcome = outcomes.get(entry.getKey());
                            if (outcome != null) {
                                entry.getValue().complete(toResult(outcome, state));
                            }
                            return outcome != null;
                        });
    }

    /** Completes the pending changes whose deadline has passed as undecided. */
    void expirePending(final Instant now) {
        mPending.values()
                .removeIf(
                        pending -> {
                            final boolean expired = !now.isBefore(pending.deadline());
                            if (expired) {
                                pending.complete(outcomeUnknown());
                            }
                            return expired;
                        });
    }

    /**
     * Returns the result of a change whose record is queued or may be on the log: the change may
     * take effect once the log answers again. The operator learns the decision by repeating the
     * change with the same identifier.
     */
    static ChangeResult outcomeUnknown() {
        return new ChangeResult.Undecided(
                Verdict.MAY_HAVE_RUN, "outcome unknown, repeat the change with the same changeId");
    }

    static ChangeResult notPublished(final String message) {
        return new ChangeResult.Undecided(Verdict.NOT_RUN, message);
    }

    private static ChangeResult toResult(final ChangeOutcome outcome, final SettingsState state) {
        return switch (outcome.result()) {
            case WON -> new ChangeResult.InForce(outcome.revision());
            case LOST_RACE ->
                    new ChangeResult.Conflict(
                            outcome.revision(), author(state, outcome.path(), outcome.revision()));
            case INVALID -> new ChangeResult.Refused(outcome.problems());
            case NOT_AUTHORISED -> new ChangeResult.Forbidden();
        };
    }

    private static String author(final SettingsState state, final String path) {
        return state.currentRevision(path).map(SettingRevision::author).orElse("");
    }

    private static String author(
            final SettingsState state, final String path, final long revision) {
        return state.history().getOrDefault(path, List.of()).stream()
                .filter(revised -> revised.revision() == revision)
                .map(SettingRevision::author)
                .findFirst()
                .orElse("");
    }

    private record Pending(List<CompletableFuture<ChangeResult>> results, Instant deadline) {
        void complete(final ChangeResult result) {
            results.forEach(future -> future.complete(result));
        }
    }
}
