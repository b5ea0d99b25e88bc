package org.whinhead.standins.load.result;

/** What is wrong with an answer. */
public enum AnswerFault {
    /** A token never came. */
    MISSING,
    /** A token came twice, or a call that must not be repeated ran twice. */
    DOUBLED,
    /** A token or an answer belongs to another request, or to no place of this answer. */
    FOREIGN,
    /** Tokens came, and then the daemon said that the request did not run. */
    FALSE_VERDICT
}
