package org.whinhead.peer;

/** Takes the messages of other daemons, but for replies. */
@FunctionalInterface
public interface PeerListener {

    /**
     * A message arrived; called on the transport's thread, which must not be held up.
     *
     * @param message the message
     */
    void received(IncomingMessage message);
}
