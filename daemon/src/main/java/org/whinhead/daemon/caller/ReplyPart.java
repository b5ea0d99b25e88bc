package org.whinhead.daemon.caller;

import org.whinhead.api.verdict.Refusal;
import org.whinhead.requests.Completion;
import org.whinhead.requests.PlainAnswer;

/** A part of an answer that the decision thread passes to the caller's IO thread. */
sealed interface ReplyPart {

    /** A token and its index in the answer. */
    record Token(long index, String text) implements ReplyPart {}

    /** A ticket that replaces earlier ones. */
    record NewTicket(String ticket) implements ReplyPart {}

    /** The end of a generated answer. */
    record Completed(Completion completion) implements ReplyPart {}

    /** A plain service's answer. */
    record Answered(PlainAnswer answer) implements ReplyPart {}

    /** A final refusal. */
    record Refused(Refusal refusal) implements ReplyPart {}

    /** A ticket for the rest of the answer; sent because this daemon stops. */
    record HandedBack(String ticket, Refusal refusal) implements ReplyPart {}
}
