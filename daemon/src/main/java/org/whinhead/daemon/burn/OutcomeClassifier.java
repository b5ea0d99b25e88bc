package org.whinhead.daemon.burn;

import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.report.Outcome;
import org.whinhead.requests.PlainAnswer;

/** Tells how a request's end counts. */
final class OutcomeClassifier {

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private OutcomeClassifier() {}

    /** A repeat of a claimed request counts as failed: its caller has no answer. */
    static Outcome classify(final Refusal refusal) {
        return switch (refusal.code()) {
            case MALFORMED_REQUEST,
                    UNKNOWN_KEY,
                    UNKNOWN_TARGET,
                    UNKNOWN_PATH,
                    BODY_TOO_LARGE,
                    BUDGET_SPENT,
                    BAD_TICKET ->
                    Outcome.CALLER_FAULT;
            case OVERLOADED,
                    NO_ENDPOINT,
                    STOPPING,
                    CLAIM_UNAVAILABLE,
                    ALREADY_CLAIMED,
                    ENDPOINT_ERROR,
                    ENDPOINT_LOST,
                    DEADLINE_PASSED,
                    RETRIES_SPENT,
                    INTERNAL ->
                    refusal.verdict() == Verdict.NOT_RUN
                            ? Outcome.REFUSED_NOT_RUN
                            : Outcome.FAILED_MAY_HAVE_RUN;
        };
    }

    /** What a plain service refuses of its own accord is the answer that was asked for. */
    static Outcome classify(final PlainAnswer answer) {
        return answer.status() < FIRST_SERVER_ERROR_STATUS
                ? Outcome.COMPLETED
                : Outcome.FAILED_MAY_HAVE_RUN;
    }
}
