package org.whinhead.state.settings;

/**
 * Decides who may change a path; a pure function of the documents in force, since every daemon must
 * come to the same answer.
 */
@FunctionalInterface
public interface SettingsAuthorizer {

    /**
     * Tells whether an operator may change a path.
     *
     * @param author the operator's name
     * @param path the path
     * @param current the documents in force
     * @return whether the change is within the operator's subtree
     */
    boolean canChange(String author, String path, SettingsState current);
}
