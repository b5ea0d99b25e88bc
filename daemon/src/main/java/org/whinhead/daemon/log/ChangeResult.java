package org.whinhead.daemon.log;

import java.util.List;
import java.util.Objects;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.settings.SettingsProblem;

/** The result of an operator's change of settings. */
public sealed interface ChangeResult {

    /**
     * The change is in force on this daemon; for a dry run, the change is valid.
     *
     * @param revision the revision of the path that is in force
     */
    record InForce(long revision) implements ChangeResult {}

    /**
     * Another change of the path was decided first.
     *
     * @param winningRevision the revision in force when this change was decided
     * @param author the author of that revision; empty if the history no longer holds it
     */
    record Conflict(long winningRevision, String author) implements ChangeResult {
        /** Checks the author. */
        public Conflict {
            Objects.requireNonNull(author, "author");
        }
    }

    /**
     * The document is not valid; the change was not published.
     *
     * @param problems the problems of the document
     */
    record Invalid(List<SettingsProblem> problems) implements ChangeResult {
        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * The change was published, but the fold of the log refused it.
     *
     * @param problems the problems of the document, as texts
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
     * The change has no decision.
     *
     * @param verdict whether the change may still take effect
     * @param message the cause or the advice for the operator
     */
    record Undecided(Verdict verdict, String message) implements ChangeResult {
        /** Checks both parts. */
        public Undecided {
            Objects.requireNonNull(verdict, "verdict");
            Objects.requireNonNull(message, "message");
        }
    }
}
