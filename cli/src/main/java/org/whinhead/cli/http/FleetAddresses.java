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
 * The operator addresses of all daemons: those given by the operator, and one for each public
 * address. If the address list omits an operator address, it is assumed to have the host of the
 * public address and the port of the first given daemon, as is the case with one daemon per Vm.
 */
public final class FleetAddresses {

    private final Set<URI> mTargets = new LinkedHashSet<>();
    private final Map<URI, URI> mOperatorByPublicAddress = new LinkedHashMap<>();

    /**
     * Creates the addresses.
     *
     * @param named the operator addresses given by the operator, at least one
     * @param addresses the response to {@code GET /operator/addresses}
     */
    public FleetAddresses(final List<URI> named, final JsonNode addresses) {
        mTargets.addAll(named);
        final int port = named.get(0).getPort();
        for (final JsonNode entry : addresses.path("addresses")) {
            final URI publicAddress = URI.create(entry.path("uri").asText());
            final String given = entry.path("operatorUri").asText();
            final URI operator =
                    given.isEmpty()
                            ? URI.create(
                                    publicAddress.getScheme()
                                            + "://"
                                            + publicAddress.getHost()
                                            + ":"
                                            + port)
                            : URI.create(given);
            mOperatorByPublicAddress.put(publicAddress, operator);
        }
        mTargets.addAll(mOperatorByPublicAddress.values());
    }

    /** Returns the operator addresses to call, without duplicates. */
    public Set<URI> targets() {
        return Set.copyOf(mTargets);
    }

    /** Returns the operator address of each daemon by its public address, which callers use. */
    public Map<URI, URI> operatorByPublicAddress() {
        return Map.copyOf(mOperatorByPublicAddress);
    }

    /**
     * Returns the hosts with more daemons than known operator addresses. Some daemons of these
     * hosts cannot be called.
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
