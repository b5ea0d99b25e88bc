package org.whinhead.daemon.request;

import org.whinhead.api.verdict.Refusal;
import org.whinhead.requests.Completion;
import org.whinhead.requests.PlainAnswer;

/** Sends the answer of one request; called on the decision thread, does not block. */
public interface CallerReply {

    /**
     * Sends a token.
     *
     * @param index the token's index in the caller's answer
     * @param text the token's text
     */
    void sendToken(long index, String text);

    /**
     * Sends a new ticket, which replaces earlier ones.
     *
     * @param ticket the encoded ticket
     */
    void sendTicket(String ticket);

    /**
     * Ends a generated answer.
     *
     * @param completion the finish reason and token counts
     */
    void complete(Completion completion);

    /**
     * Sends a plain service's answer.
     *
     * @param answer the answer
     */
    void sendAnswer(PlainAnswer answer);

    /**
     * Sends a final refusal.
     *
     * @param refusal the refusal
     */
    void refuse(Refusal refusal);

    /**
     * Ends the answer with a ticket for its rest: a streamed answer ends with the ticket, a
     * buffered one is refused.
     *
     * @param ticket the encoded ticket
     * @param refusal the refusal that accompanies the ticket
     */
    void handBack(String ticket, Refusal refusal);

    /** Closes the connection, because the caller has resumed the answer over another one. */
    void supersede();
}
