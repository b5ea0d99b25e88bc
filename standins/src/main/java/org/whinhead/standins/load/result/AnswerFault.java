package org.whinhead.standins.load.result;

/** The reason why an answer is wrong. */
public enum AnswerFault {
    /** A token is missing. */
    MISSING,
    /** A token was received twice, or a non-idempotent request ran twice. */
    DOUBLED,
    /** A token or an answer is not part of the expected answer, or cannot be parsed. */
    FOREIGN,
    /** The daemon reported "not run" after it delivered tokens. */
    FALSE_VERDICT
}
