package org.whinhead.serving.configuration;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;
import org.whinhead.api.Arguments;

/**
 * Configuration of a customer.
 *
 * @param name the customer's name
 * @param keys the keys that its callers present
 * @param priority the rank, 0 first, that overrides the priority of the route
 * @param allowance the tokens that the customer may spend
 */
public record CustomerAccount(
        String name, List<String> keys, OptionalInt priority, TokenAllowance allowance) {

    /** Checks and copies the components. */
    public CustomerAccount {
        Arguments.requireText(name, "name");
        keys = List.copyOf(keys);
        Objects.requireNonNull(priority, "priority");
        Objects.requireNonNull(allowance, "allowance");
    }
}
