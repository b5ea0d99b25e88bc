package org.whinhead.serving.rollout;

/** How far a roll-out has come. */
public enum RolloutState {
    /** The new version is on trial, or takes over while the old one can still take back. */
    RUNNING,
    /** The new version serves alone; the old endpoints stop at once. */
    COMPLETED,
    /** The old version serves alone; the new endpoints leave. */
    ROLLED_BACK;

    /**
     * Tells whether the state can't change any more.
     *
     * @return whether it is an end
     */
    public boolean isFinal() {
        return this != RUNNING;
    }
}
