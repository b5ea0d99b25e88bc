package org.whinhead.serving.usage;

import org.whinhead.api.Arguments;

/**
 * Usage of one customer in one window.
 *
 * @param window the window's number
 * @param customer the customer's name
 * @param requests the number of the customer's requests that began to run
 */
public record UsageCount(long window, String customer, long requests) {

    /** Checks the components. */
    public UsageCount {
        Arguments.requireText(customer, "customer");
        Arguments.requireAtLeast(requests, 0, "requests");
    }
}
