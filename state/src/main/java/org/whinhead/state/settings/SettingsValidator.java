package org.whinhead.state.settings;

import java.util.List;
import java.util.Optional;

/**
 * Checks the validity of a document at a path. A pure function, since all daemons must reach the
 * same result.
 */
public interface SettingsValidator {

    /**
     * Returns whether this program version supports a rules version.
     *
     * @param rules the rules version
     * @return whether {@link #findProblems} accepts the rules version
     */
    boolean supports(int rules);

    /**
     * Returns the problems of a change under a rules version, which never changes after its
     * release.
     *
     * @param rules the rules version in force
     * @param path the path
     * @param document the new document, or empty for a deletion
     * @param current the documents in force
     * @return the descriptions of the problems, empty if the change is valid
     */
    List<String> findProblems(
            int rules, String path, Optional<String> document, SettingsState current);
}
