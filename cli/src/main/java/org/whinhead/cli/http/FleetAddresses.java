package org.whinhead.cli.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Which operator addresses to ask so as to reach all daemons: those that were named, and one for
 * each address that callers are told. Where the list does not name it, it is taken to have the
 * address's host and the named daemon's port, which holds where each Vm runs one daemon.
 */
public final class FleetAddresses {

    private final Set<URI> mTargets = new LinkedHashSet<>();
    private final Map<URI, URI> mOperatorByPublicAddress = new LinkedHashMap<>();

    /**
     * Makes a plan.
     *
     * @param named the operator addresses that were named, at least one
     * @param addresses the answer to {@code GET /operator/addresses}
     */
    public FleetAddresses(final List<URI> named, final JsonNode addresses) {
        mTargets.addAll(named);
        final int port = named.get(0).getPort();
        for (final JsonNode entry : addresses.path("addresses")) {
            final URI caller = URI.create(entry.path("uri").asText());
            final String given = entry.path("operatorUri").asText();
            final URI operator =
                    given.isEmpty()
                            ? URI.create(caller.getScheme() + "://" + caller.getHost() + ":" + port)
                            : URI.create(given);
            mOperatorByPublicAddress.put(caller, operator);
        }
        mTargets.addAll(mOperatorByPublicAddress.values());
    }

    /** Returns the operator addresses to ask, each once. */
    public Set<URI> targets() {
        return Set.copyOf(mTargets);
    }

    /**
     * Returns the addresses that callers are told, each with the operator address it stands for.
     */
    public Map<URI, URI> operatorByPublicAddress() {
        return Map.copyOf(mOperatorByPublicAddress);
    }

    /**
     * Returns the hosts that run more daemons than there are operator addresses known on them, so
     * that some daemons cannot be asked.
     */
    public List<String> hostsWithUnknownDaemons() {
        return mOperatorByPublicAddress.keySet().stream()
                .map(URI::getHost)
                .filter(Objects::nonNull)
                .distinct()
                .filter(
                        host ->
                                count(mOperatorByPublicAddress.keySet(), host)
                                        > count(mTargets, host))
                .toList();
    }

    private static long count(final Set<URI> addresses, final String host) {
        return addresses.stream().filter(address -> host.equals(address.getHost())).count();
    }
}
