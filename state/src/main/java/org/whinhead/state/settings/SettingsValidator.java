package org.whinhead.state.settings;

import java.util.List;
import java.util.Optional;

/**
 * Decides whether a document may stand at a path; a pure function, since every daemon must come to
 * the same answer.
 */
public interface SettingsValidator {

    /**
     * Tells whether this version of the program knows a version of the rules.
     *
     * @param rules the version of the rules
     * @return whether {@link #findProblems} can be asked for it
     */
    boolean supports(int rules);

    /**
     * Checks a change against a version of the rules, which never changes once it was released.
     *
     * @param rules the version of the rules in force
     * @param path the path
     * @param document the new document, or empty for a deletion
     * @param current the documents in force
     * @return what is wrong, empty if the change is valid
     */
    List<String> findProblems(
            int rules, String path, Optional<String> document, SettingsState current);
}
