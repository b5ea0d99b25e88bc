package org.whinhead.daemon.caller;

/** Writes an answer the way its caller asked for it; on the caller's IO thread. */
interface AnswerFormat {

    /**
     * Takes one step of the answer.
     *
     * @param part the step
     * @param writer the response
     */
    void write(ReplyPart part, ExchangeWriter writer);

    /**
     * Writes what a batch of steps came to.
     *
     * @param writer the response
     */
    default void flushBatch(final ExchangeWriter writer) {}
}
