package org.whinhead.serving.rollout;

/** The state of a roll-out. */
public enum RolloutState {
    /** The new version is a canary, or takes over while the roll-out can still be rolled back. */
    RUNNING,
    /** Only the new version serves; the old endpoints stop at once. */
    COMPLETED,
    /** Only the old version serves; the new endpoints leave. */
    ROLLED_BACK;

    /**
     * Returns whether the state can't change any more.
     *
     * @return whether the roll-out is completed or rolled back
     */
    public boolean isFinal() {
        return this != RUNNING;
    }
}
