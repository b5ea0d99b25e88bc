package org.whinhead.serving.configuration.check;

/** Finds numbers that are lowered, which may cut what is in use, or raised. */
final class NumberChange {

    private final String mLoweredRule;
    private final String mRaisedRule;
    private final Findings mFindings;

    NumberChange(final String loweredRule, final String raisedRule, final Findings findings) {
        mLoweredRule = loweredRule;
        mRaisedRule = raisedRule;
        mFindings = findings;
    }

    /** Adds a finding if a number differs: a warning if it is lowered, a note if it is raised. */
    void add(final String path, final long old, final long next) {
        if (next < old) {
            mFindings.warn(path, mLoweredRule, old, next);
        } else if (next > old) {
            mFindings.add(Severity.NOTE, path, mRaisedRule, old, next);
        }
    }
}
