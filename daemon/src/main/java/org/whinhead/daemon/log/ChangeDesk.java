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

/** Gets operators' changes decided through the fold; on the duty's thread. */
final class ChangeDesk {

    private static final int MAX_PENDING = 1_024;
    private static final String NOT_KNOWN = "settings.not-known";
    private static final String ROOT = "$";

    private final RecordSink mSink;
    private final Duration mTimeout;
    private final Map<String, Pending> mPending = new LinkedHashMap<>();

    ChangeDesk(final RecordSink sink, final Duration timeout) {
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
    void ask(
            final SettingsChange change,
            final CompletableFuture<ChangeAnswer> answer,
            final LogStanding standing,
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
        final Optional<ChangeAnswer> early = beforeAppend(change, standing, logAnswers);
        if (early.isPresent()) {
            answer.complete(early.get());
        } else {
            append(change, answer, now);
        }
    }

    private Optional<ChangeAnswer> beforeAppend(
            final SettingsChange change, final LogStanding standing, final boolean logAnswers) {
        if (!standing.fold().caughtUp() || standing.fold().blocked()) {
            return Optional.of(notRun("the settings were not read from the log yet"));
        }
        final SettingsState state = standing.fold().state().settings();
        final long inForce = state.revisionNumber(change.path());
        // A lower revision here may only mean that this daemon lags; then the fold decides.
        if (inForce > change.baseRevision()) {
            return Optional.of(new ChangeAnswer.Conflict(inForce, author(state, change.path())));
        }
        final List<SettingsProblem> problems = problems(change, standing);
        if (!problems.isEmpty()) {
            return Optional.of(new ChangeAnswer.Invalid(problems));
        }
        if (change.dryRun()) {
            return Optional.of(new ChangeAnswer.InForce(inForce));
        }
        if (!logAnswers || mPending.size() >= MAX_PENDING) {
            return Optional.of(notRun("the log does not answer"));
        }
        return Optional.empty();
    }

    private static List<SettingsProblem> problems(
            final SettingsChange change, final LogStanding standing) {
        final ValidationResult validation =
                DocumentValidator.validate(change.path(), change.document(), standing.settings());
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
            final CompletableFuture<ChangeAnswer> answer,
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
            answer.complete(notRun("too many changes wait for the log"));
            return;
        }
        final List<CompletableFuture<ChangeAnswer>> answers = new ArrayList<>();
        answers.add(answer);
        mPending.put(change.changeId(), new Pending(answers, now.plus(mTimeout)));
    }

    /** Answers the changes that the fold has decided by now. */
    void folded(final SettingsState state) {
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
    void tick(final Instant now) {
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
    static ChangeAnswer outcomeUnknown() {
        return new ChangeAnswer.Undecided(
                Verdict.MAY_HAVE_RUN, "outcome unknown, ask again with the same changeId");
    }

    static ChangeAnswer notRun(final String message) {
        return new ChangeAnswer.Undecided(Verdict.NOT_RUN, message);
    }

    private static ChangeAnswer answer(final ChangeOutcome outcome, final SettingsState state) {
        return switch (outcome.result()) {
            case WON -> new ChangeAnswer.InForce(outcome.revision());
            case LOST_RACE ->
                    new ChangeAnswer.Conflict(
                            outcome.revision(), author(state, outcome.path(), outcome.revision()));
            case INVALID -> new ChangeAnswer.Refused(outcome.problems());
            case NOT_AUTHORISED -> new ChangeAnswer.Forbidden();
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

    private record Pending(List<CompletableFuture<ChangeAnswer>> answers, Instant deadline) {
        void answer(final ChangeAnswer answer) {
            answers.forEach(waiting -> waiting.complete(answer));
        }
    }
}
