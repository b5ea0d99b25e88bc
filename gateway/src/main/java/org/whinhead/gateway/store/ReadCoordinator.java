package org.whinhead.gateway.store;

/** Decides whether this daemon reads the store itself or relies on the reads of others. */
public interface ReadCoordinator {

    /**
     * Returns whether this daemon is one of those that read for all.
     *
     * @return whether this daemon reads in any case
     */
    boolean isReader();

    /**
     * Returns whether another daemon has just read a topic and found nothing that is new to this
     * one.
     *
     * @param topic the topic
     * @return whether this daemon needs no read of its own
     */
    boolean isCovered(StoreTopic topic);
}
