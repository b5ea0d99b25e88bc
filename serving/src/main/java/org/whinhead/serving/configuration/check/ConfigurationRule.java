package org.whinhead.serving.configuration.check;

/** A rule that a configuration accepted by daemons should satisfy. */
interface ConfigurationRule {

    /**
     * Adds a finding for each entry that does not satisfy the rule.
     *
     * @param configuration the configuration
     * @param findings where findings are added
     */
    void check(WrittenConfiguration configuration, Findings findings);

    /** Returns whether the rule compares entries with others that may be missing. */
    default boolean needsAllEntries() {
        return false;
    }
}
