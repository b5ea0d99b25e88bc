package org.whinhead.standins.load.result;

/** What is wrong with an answer. */
public enum AnswerFault {
    /** A token never came. */
    MISSING,
    /** A token came twice. */
    DOUBLED,
    /** A token belongs to no place, or to another place, of this answer. */
    FOREIGN,
    /** Tokens came, and then the daemon said that the request did not run. */
    FALSE_VERDICT
}
