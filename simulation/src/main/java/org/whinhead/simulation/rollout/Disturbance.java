package org.whinhead.simulation.rollout;

/** A fault that is injected during a simulated roll-out. */
public enum Disturbance {
    /** No fault. */
    NONE,
    /** A third of the daemons are partitioned from the holder for six seconds. */
    DAEMONS_CUT,
    /** The lease holder is killed halfway; another daemon takes over after four seconds. */
    HOLDER_KILLED,
    /** All daemons are killed halfway and lose their state. */
    ALL_KILLED,
    /** The store is unreachable from half of the time budget on, for a third of it. */
    STORE_AWAY,
    /** A third of the new endpoints is reclaimed halfway. */
    RECLAIM,
    /** The old endpoints also fail part of their answers, during the whole roll-out. */
    OLD_FAILS
}
