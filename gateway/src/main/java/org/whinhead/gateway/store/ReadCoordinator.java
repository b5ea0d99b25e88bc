package org.whinhead.gateway.store;

/** Tells a follower whether other daemons read the store for this one. */
public interface ReadCoordinator {

    /**
     * Tells whether this daemon is one of those that read for all.
     *
     * @return whether it reads in any case
     */
    boolean isReader();

    /**
     * Tells whether another daemon has read a topic just now and seen what this one has seen.
     *
     * @param topic the topic
     * @return whether a read of this daemon would bring nothing new
     */
    boolean isCovered(StoreTopic topic);
}
