package org.whinhead.membership;

/** Receives the messages and views of a {@link Membership}. Neither method may block. */
public interface MembershipActions {

    /**
     * Sends a message, which may be lost.
     *
     * @param to the receiver
     * @param message the message
     */
    void send(DaemonAddress to, MembershipMessage message);

    /**
     * Publishes a changed view.
     *
     * @param view the new view
     */
    void viewChanged(MembershipView view);
}
