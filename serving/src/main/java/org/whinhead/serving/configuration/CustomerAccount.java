package org.whinhead.serving.configuration;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;
import org.whinhead.api.Arguments;

/**
 * A customer as the configuration has it.
 *
 * @param name the customer's name
 * @param keys the keys that its callers present
 * @param priority a rank that goes before the route's, 0 first
 * @param allowance what it may spend
 */
public record CustomerAccount(
        String name, List<String> keys, OptionalInt priority, TokenAllowance allowance) {

    /** Checks and copies the parts. */
    public CustomerAccount {
        Arguments.requireText(name, "name");
        keys = List.copyOf(keys);
        Objects.requireNonNull(priority, "priority");
        Objects.requireNonNull(allowance, "allowance");
    }
}
