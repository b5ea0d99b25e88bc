package org.whinhead.daemon.ring;

/**
 * Handles a ring's events on the ring's thread.
 *
 * @param <E> the type of the events
 */
@FunctionalInterface
public interface EventHandler<E> {

    /**
     * Handles an event.
     *
     * @param event the event
     * @param endOfBatch whether the event is the last one of those read from the ring together
     */
    void handle(E event, boolean endOfBatch);
}
