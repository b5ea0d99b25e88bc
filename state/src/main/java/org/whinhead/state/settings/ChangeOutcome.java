package org.whinhead.state.settings;

import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * The outcome of an operator's change.
 *
 * @param changeId the operator's identifier of the change
 * @param path the path of the document
 * @param result the result
 * @param revision the revision in force at the path after the change was decided
 * @param offset the offset of the record with the change
 * @param problems the problems that the validator found; empty unless the result is invalid
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

    /** The possible results of a change. */
    public enum Result {
        /** The change took effect. */
        WON,
        /** Another change of the same path came first in the log. */
        LOST_RACE,
        /** The document is invalid under the rules in force. */
        INVALID,
        /** The path is outside the author's subtree. */
        NOT_AUTHORISED
    }
}
