package org.whinhead.state.settings;

/**
 * Decides whether an operator may change a path. A pure function of the documents in force, since
 * all daemons must reach the same decision.
 */
@FunctionalInterface
public interface SettingsAuthorizer {

    /**
     * Returns whether an operator may change a path.
     *
     * @param author the operator's name
     * @param path the path
     * @param current the documents in force
     * @return whether the path is within the operator's subtree
     */
    boolean canChange(String author, String path, SettingsState current);
}
