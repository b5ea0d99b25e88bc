package org.whinhead.daemon.burn;

import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.report.Outcome;
import org.whinhead.requests.PlainAnswer;

/** Classifies the end of a request as an outcome for the report. */
final class OutcomeClassifier {

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private OutcomeClassifier() {}

    /**
     * Classifies a refusal; a repeat of a claimed request has failed, as its caller has no answer.
     */
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

    /**
     * Classifies a plain service's answer; a status below 500 is complete, also a refusal by 4xx.
     */
    static Outcome classify(final PlainAnswer answer) {
        return answer.status() < FIRST_SERVER_ERROR_STATUS
                ? Outcome.COMPLETED
                : Outcome.FAILED_MAY_HAVE_RUN;
    }
}
