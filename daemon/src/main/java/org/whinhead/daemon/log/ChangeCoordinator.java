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
import org.whinhead.settings.deployment.DocumentRules;
import org.whinhead.settings.deployment.Validation;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordSink;
import org.whinhead.state.settings.ChangeOutcome;
import org.whinhead.state.settings.SettingRevision;
import org.whinhead.state.settings.SettingsState;

/** Gets operators' changes decided through the fold; on the duty's thread. */
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
     * Takes a change.
     *
     * @param change the change
     * @param answer completed with exactly one answer
     * @param standing what is known
     * @param logAnswers whether the log is known to answer
     * @param now the time
     */
    void submit(
            final SettingsChange change,
            final CompletableFuture<ChangeResult> answer,
            final LogSnapshot standing,
            final boolean logAnswers,
            final Instant now) {
        final SettingsState state = standing.fold().state().settings();
        final Optional<ChangeOutcome> decided = state.outcome(change.changeId());
        if (decided.isPresent()) {
            answer.complete(answer(decided.get(), state));
            return;
        }
        final Pending same = mPending.get(change.changeId());
        if (same != null) {
            same.answers().add(answer);
            return;
        }
        final Optional<ChangeResult> early = checkBeforeAppend(change, standing, logAnswers);
        if (early.isPresent()) {
            answer.complete(early.get());
        } else {
            append(change, answer, now);
        }
    }

    private Optional<ChangeResult> checkBeforeAppend(
            final SettingsChange change, final LogSnapshot standing, final boolean logAnswers) {
        if (!standing.fold().caughtUp() || standing.fold().blocked()) {
            return Optional.of(notPublished("the settings were not read from the log yet"));
        }
        final SettingsState state = standing.fold().state().settings();
        final long inForce = state.revisionNumber(change.path());
        // A lower revision here may only mean that this daemon lags; then the fold decides.
        if (inForce > change.baseRevision()) {
            return Optional.of(new ChangeResult.Conflict(inForce, author(state, change.path())));
        }
        final List<SettingsProblem> problems = findProblems(change, standing);
        if (!problems.isEmpty()) {
            return Optional.of(new ChangeResult.Invalid(problems));
        }
        if (change.dryRun()) {
            return Optional.of(new ChangeResult.InForce(inForce));
        }
        if (!logAnswers || mPending.size() >= MAX_PENDING) {
            return Optional.of(notPublished("the log does not answer"));
        }
        return Optional.empty();
    }

    private static List<SettingsProblem> findProblems(
            final SettingsChange change, final LogSnapshot standing) {
        final Validation validation =
                DocumentRules.validate(change.path(), change.document(), standing.settings());
        if (validation.mayBePublished()) {
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
            final CompletableFuture<ChangeResult> answer,
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
            answer.complete(notPublished("too many changes wait for the log"));
            return;
        }
        final List<CompletableFuture<ChangeResult>> answers = new ArrayList<>();
        answers.add(answer);
        mPending.put(change.changeId(), new Pending(answers, now.plus(mTimeout)));
    }

    /** Answers the changes that the fold has decided by now. */
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
                                entry.getValue().answer(answer(outcome, state));
                            }
                            return outcome != null;
                        });
    }

    /** Time passed: ends the waits that are over. */
    void expirePending(final Instant now) {
        mPending.values()
                .removeIf(
                        pending -> {
                            final boolean over = !now.isBefore(pending.deadline());
                            if (over) {
                                pending.answer(outcomeUnknown());
                            }
                            return over;
                        });
    }

    /**
     * The record is queued or its fate unknown: it may take effect once the log is back. The
     * operator learns what became of it by asking again with the same change identity.
     */
    static ChangeResult outcomeUnknown() {
        return new ChangeResult.Undecided(
                Verdict.MAY_HAVE_RUN, "outcome unknown, ask again with the same changeId");
    }

    static ChangeResult notPublished(final String message) {
        return new ChangeResult.Undecided(Verdict.NOT_RUN, message);
    }

    private static ChangeResult answer(final ChangeOutcome outcome, final SettingsState state) {
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
                .filter(kept -> kept.revision() == revision)
                .map(SettingRevision::author)
                .findFirst()
                .orElse("");
    }

    private record Pending(List<CompletableFuture<ChangeResult>> answers, Instant deadline) {
        void answer(final ChangeResult answer) {
            answers.forEach(waiting -> waiting.complete(answer));
        }
    }
}
