package org.whinhead.serving.usage;

import org.whinhead.api.Arguments;

/**
 * What one customer used in one window.
 *
 * @param window the window's number
 * @param customer the customer
 * @param requests how many of its requests began to run
 */
public record UsageCount(long window, String customer, long requests) {

    /** Checks the parts. */
    public UsageCount {
        Arguments.requireText(customer, "customer");
        Arguments.requireAtLeast(requests, 0, "requests");
    }
}
