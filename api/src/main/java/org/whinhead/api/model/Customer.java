package org.whinhead.api.model;

import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * An organization or application that calls the system.
 *
 * @param id the customer's identifier
 * @param team the team whose subtree holds the customer
 * @param tier the service tier of its requests
 * @param keyHashes SHA-256 hashes, in lower-case hex, of the customer's API keys
 * @param weight weight relative to the other customers of the same tier, at least 1
 * @param tokensPerSecond its budget of generated tokens per second, over all daemons, at least 1
 */
public record Customer(
        CustomerId id,
        TeamId team,
        Tier tier,
        List<String> keyHashes,
        int weight,
        long tokensPerSecond) {

    /** Validates the components and copies the list. */
    public Customer {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(tier, "tier");
        keyHashes = List.copyOf(keyHashes);
        Arguments.requireAtLeast(weight, 1, "weight");
        Arguments.requireAtLeast(tokensPerSecond, 1, "tokensPerSecond");
    }
}
