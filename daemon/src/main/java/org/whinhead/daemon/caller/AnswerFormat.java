package org.whinhead.daemon.caller;

/** Writes an answer in the format that its caller requested; used on the caller's IO thread. */
interface AnswerFormat {

    /**
     * Writes or buffers one part of the answer.
     *
     * @param part the part
     * @param writer the writer of the response
     */
    void write(ReplyPart part, ExchangeWriter writer);

    /**
     * Writes what the parts of a batch left in the buffer.
     *
     * @param writer the writer of the response
     */
    default void flushBatch(final ExchangeWriter writer) {}
}
