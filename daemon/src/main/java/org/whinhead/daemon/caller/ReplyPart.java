package org.whinhead.daemon.caller;

import org.whinhead.api.verdict.Refusal;
import org.whinhead.requests.Completion;
import org.whinhead.requests.PlainAnswer;

/** One step of an answer on its way from the decision thread to the caller's IO thread. */
sealed interface ReplyPart {

    /** A token at its index. */
    record Token(long index, String text) implements ReplyPart {}

    /** A ticket that replaces earlier ones. */
    record NewTicket(String ticket) implements ReplyPart {}

    /** The end of a generated answer. */
    record Completed(Completion completion) implements ReplyPart {}

    /** A plain service's answer. */
    record Answered(PlainAnswer answer) implements ReplyPart {}

    /** A final refusal. */
    record Refused(Refusal refusal) implements ReplyPart {}

    /** A ticket for the rest of the answer, because this daemon stops. */
    record HandedBack(String ticket, Refusal refusal) implements ReplyPart {}
}
