package org.whinhead.daemon.log;

import java.util.List;
import java.util.Objects;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.settings.SettingsProblem;

/** What an operator is told of a change. */
public sealed interface ChangeResult {

    /**
     * The change is in force here; for a dry run, it would be valid.
     *
     * @param revision the revision in force
     */
    record InForce(long revision) implements ChangeResult {}

    /**
     * Another change of the path came first.
     *
     * @param winningRevision the revision in force when this one was decided
     * @param author who made that revision; empty if that is not kept
     */
    record Conflict(long winningRevision, String author) implements ChangeResult {
        /** Checks the author. */
        public Conflict {
            Objects.requireNonNull(author, "author");
        }
    }

    /**
     * The document is not valid, as found before it was published.
     *
     * @param problems what is wrong
     */
    record Invalid(List<SettingsProblem> problems) implements ChangeResult {
        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * The change was published and the fold refused it.
     *
     * @param problems what is wrong, as texts
     */
    record Refused(List<String> problems) implements ChangeResult {
        /** Copies the list. */
        public Refused {
            problems = List.copyOf(problems);
        }
    }

    /** The path is outside the author's subtree. */
    record Forbidden() implements ChangeResult {}

    /**
     * The change is not decided.
     *
     * @param verdict whether it may yet take effect
     * @param message what to do, for people
     */
    record Undecided(Verdict verdict, String message) implements ChangeResult {
        /** Checks both parts. */
        public Undecided {
            Objects.requireNonNull(verdict, "verdict");
            Objects.requireNonNull(message, "message");
        }
    }
}
