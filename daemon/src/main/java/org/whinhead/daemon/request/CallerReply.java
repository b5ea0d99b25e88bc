package org.whinhead.daemon.request;

import org.whinhead.api.verdict.Refusal;
import org.whinhead.requests.Completion;
import org.whinhead.requests.PlainAnswer;

/** Where one request's answer goes; called on the decision thread and never blocks. */
public interface CallerReply {

    /**
     * Hands on a token.
     *
     * @param index the token's index in the caller's answer
     * @param text the token's text
     */
    void sendToken(long index, String text);

    /**
     * Hands on a new ticket.
     *
     * @param ticket the ticket as the caller will present it
     */
    void sendTicket(String ticket);

    /**
     * Ends a generated answer.
     *
     * @param completion how it went
     */
    void complete(Completion completion);

    /**
     * Gives a plain service's answer.
     *
     * @param answer the answer
     */
    void sendAnswer(PlainAnswer answer);

    /**
     * Gives a final refusal.
     *
     * @param refusal the refusal
     */
    void refuse(Refusal refusal);

    /**
     * Sends the caller away with a ticket: a streamed answer ends with it, a whole one is refused.
     *
     * @param ticket the ticket as the caller will present it
     * @param refusal what a caller that waits for a whole answer is told
     */
    void handBack(String ticket, Refusal refusal);

    /** Closes the connection, because the caller has come back over another one. */
    void supersede();
}
