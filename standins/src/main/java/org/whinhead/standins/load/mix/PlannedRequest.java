package org.whinhead.standins.load.mix;

import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.request.RequestId;

/**
 * A generated request; the same in every attempt.
 *
 * @param id the request id, chosen by the caller
 * @param customer the customer that sends the request
 * @param kind the kind of request
 * @param messages the contents of its messages, in order
 * @param tokens the requested length of the answer in tokens; 0 for a plain service
 */
public record PlannedRequest(
        RequestId id, LoadCustomer customer, RequestKind kind, List<String> messages, int tokens) {

    private static final String MESSAGE_SEPARATOR = "\n";

    /** Checks the values and copies the list. */
    public PlannedRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(kind, "kind");
        messages = List.copyOf(messages);
        Arguments.requireAtLeast(tokens, 0, "tokens");
    }

    /** Returns the prompt from which the expected answer is derived. */
    public String prompt() {
        return String.join(MESSAGE_SEPARATOR, messages);
    }
}
