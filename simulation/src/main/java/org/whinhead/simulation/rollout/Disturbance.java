package org.whinhead.simulation.rollout;

/** What goes wrong beside a roll-out. */
public enum Disturbance {
    /** Nothing. */
    NONE,
    /** A third of the daemons hear nothing from the holder, nor it from them, for six seconds. */
    DAEMONS_CUT,
    /**
     * The holder of the duties is killed in the middle; another one takes over after four seconds.
     */
    HOLDER_KILLED,
    /** All daemons are killed in the middle, and forget everything. */
    ALL_KILLED,
    /** The store is away for the middle third of the time budget. */
    STORE_AWAY,
    /** A third of the new endpoints is taken back in the middle. */
    RECLAIM,
    /** The old endpoints fail part of their answers, too, as long as the roll-out lasts. */
    OLD_FAILS
}
