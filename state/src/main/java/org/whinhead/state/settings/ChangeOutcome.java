package org.whinhead.state.settings;

import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * What became of an operator's change.
 *
 * @param changeId the operator's name for the change
 * @param path the path
 * @param result the result
 * @param revision the revision in force at the path after the change was decided
 * @param offset the offset of the record that was decided
 * @param problems what the validator found; empty unless invalid
 */
public record ChangeOutcome(
        String changeId,
        String path,
        Result result,
        long revision,
        long offset,
        List<String> problems) {

    /** Checks every part and copies the list. */
    public ChangeOutcome {
        Arguments.requireText(changeId, "changeId");
        Arguments.requireText(path, "path");
        Objects.requireNonNull(result, "result");
        problems = List.copyOf(problems);
    }

    /** The results that a change can have. */
    public enum Result {
        /** The change is in force. */
        WON,
        /** Another change of the same path came first in the log. */
        LOST_RACE,
        /** The rules in force refuse the document. */
        INVALID,
        /** The path is outside the author's subtree. */
        NOT_AUTHORISED
    }
}
