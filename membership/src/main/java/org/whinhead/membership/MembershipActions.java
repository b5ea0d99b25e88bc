package org.whinhead.membership;

/** What {@link Membership} tells the outside to do; both calls return at once. */
public interface MembershipActions {

    /**
     * Sends a message, which may be lost.
     *
     * @param to the receiver
     * @param message the message
     */
    void send(DaemonAddress to, MembershipMessage message);

    /**
     * The view changed.
     *
     * @param view the new view
     */
    void viewChanged(MembershipView view);
}
