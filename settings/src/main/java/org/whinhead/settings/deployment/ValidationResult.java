package org.whinhead.settings.deployment;

import java.util.List;
import java.util.stream.Stream;
import org.whinhead.settings.SettingsProblem;

/**
 * Result of the validation of a change to a document.
 *
 * @param foldProblems problems that prevent the change from taking effect; the same on every daemon
 * @param schemaProblems violations of the document's own schema
 * @param known whether this program knows the document's kind and schema number
 */
public record ValidationResult(
        List<SettingsProblem> foldProblems, List<SettingsProblem> schemaProblems, boolean known) {

    /** Sorts and copies the lists. */
    public ValidationResult {
        foldProblems = foldProblems.stream().sorted().distinct().toList();
        schemaProblems = schemaProblems.stream().sorted().distinct().toList();
    }

    /** Returns whether the fold applies the change; the same for every program version. */
    public boolean canTakeEffect() {
        return foldProblems.isEmpty();
    }

    /** Returns whether a daemon of this program version may append the change to the log. */
    public boolean canBePublished() {
        return known && foldProblems.isEmpty() && schemaProblems.isEmpty();
    }

    /** Returns every problem, sorted by JSON path. */
    public List<SettingsProblem> problems() {
        return Stream.concat(foldProblems.stream(), schemaProblems.stream())
                .sorted()
                .distinct()
                .toList();
    }
}
