package org.whinhead.api.model;

import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * An organisation or application that calls the system.
 *
 * @param id the customer's identity
 * @param team the team whose subtree holds the customer
 * @param tier the tier that its requests run in
 * @param keyHashes SHA-256 hashes, in lower-case hex, of the keys that it may use
 * @param weight its share against other customers of the same tier
 * @param tokensPerSecond its budget of generated tokens a second, over all daemons
 */
public record Customer(
        CustomerId id,
        TeamId team,
        Tier tier,
        List<String> keyHashes,
        int weight,
        long tokensPerSecond) {

    /** Checks every part and copies the list. */
    public Customer {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(tier, "tier");
        keyHashes = List.copyOf(keyHashes);
        Arguments.requireAtLeast(weight, 1, "weight");
        Arguments.requireAtLeast(tokensPerSecond, 1, "tokensPerSecond");
    }
}
