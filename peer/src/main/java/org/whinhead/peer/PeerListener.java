package org.whinhead.peer;

/** Receives the messages of other daemons except replies. */
@FunctionalInterface
public interface PeerListener {

    /**
     * Handles a message. Called on the transport's thread; must not block.
     *
     * @param message the message
     */
    void received(IncomingMessage message);
}
