package org.whinhead.settings.deployment;

import java.util.List;
import java.util.stream.Stream;
import org.whinhead.settings.SettingsProblem;

/**
 * What is known of a change to a document.
 *
 * @param foldProblems what keeps the change from taking effect, on every daemon alike
 * @param schemaProblems what is wrong by the document's own schema
 * @param known whether this program knows the document's kind and schema number
 */
public record ValidationResult(
        List<SettingsProblem> foldProblems, List<SettingsProblem> schemaProblems, boolean known) {

    /** Sorts and copies the lists. */
    public ValidationResult {
        foldProblems = foldProblems.stream().sorted().distinct().toList();
        schemaProblems = schemaProblems.stream().sorted().distinct().toList();
    }

    /** Tells whether the fold takes the change; the same on every version of the program. */
    public boolean canTakeEffect() {
        return foldProblems.isEmpty();
    }

    /** Tells whether a daemon of this version may put the change on the log. */
    public boolean canBePublished() {
        return known && foldProblems.isEmpty() && schemaProblems.isEmpty();
    }

    /** Returns every problem, sorted by place. */
    public List<SettingsProblem> problems() {
        return Stream.concat(foldProblems.stream(), schemaProblems.stream())
                .sorted()
                .distinct()
                .toList();
    }
}
