package org.whinhead.standins.load.mix;

import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.request.RequestId;

/**
 * One request as its caller will send it, the same on every try.
 *
 * @param id the identity that the caller chose
 * @param customer who asks
 * @param kind the kind of request
 * @param messages the contents of its messages, in order
 * @param tokens the length of the answer asked for; 0 for a plain service
 */
public record PlannedRequest(
        RequestId id, LoadCustomer customer, RequestKind kind, List<String> messages, int tokens) {

    private static final String MESSAGE_SEPARATOR = "\n";

    /** Checks every part and copies the list. */
    public PlannedRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(kind, "kind");
        messages = List.copyOf(messages);
        Arguments.requireAtLeast(tokens, 0, "tokens");
    }

    /** Returns the prompt that the expected answer depends on. */
    public String prompt() {
        return String.join(MESSAGE_SEPARATOR, messages);
    }
}
