package org.whinhead.simulation.capacity;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.whinhead.api.Arguments;

/**
 * The events of a simulated day, read from a JSON file, with times in seconds from the first
 * traffic.
 *
 * @param name the name of the day
 * @param leadSeconds the time that the deployment runs before its first traffic
 * @param lengthSeconds the duration of the traffic
 * @param domains the failure domains
 * @param mostInDomain the largest number of endpoints of a failure domain, of both kinds
 * @param bootSeconds the time that an endpoint takes to start
 * @param reclaimablePrice the price of a reclaimable endpoint, relative to an on-demand one
 * @param endpointTokens the throughput of an endpoint, in tokens per second
 * @param learnedTokens the throughput that daemons estimate, in tokens per second
 * @param reportSeconds the delay after which the planner sees the demand
 * @param demand the demand of callers
 * @param reclaims the reclaims by the platform
 * @param restarts the times at which all daemons are killed at once; no capacity is ordered for the
 *     three seconds after
 */
public record CapacityDay(
        String name,
        int leadSeconds,
        int lengthSeconds,
        List<Domain> domains,
        int mostInDomain,
        double bootSeconds,
        double reclaimablePrice,
        double endpointTokens,
        double learnedTokens,
        double reportSeconds,
        Demand demand,
        List<Reclaim> reclaims,
        List<Double> restarts) {

    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    /** Checks the components and copies the lists. */
    public CapacityDay {
        Arguments.requireText(name, "name");
        Arguments.requireAtLeast(leadSeconds, 0, "leadSeconds");
        Arguments.requireAtLeast(lengthSeconds, 1, "lengthSeconds");
        domains = List.copyOf(domains);
        Arguments.requireAtLeast(domains.size(), 1, "domains");
        Arguments.requireAtLeast(mostInDomain, 1, "mostInDomain");
        requireAbove(bootSeconds, "bootSeconds");
        requireAbove(reclaimablePrice, "reclaimablePrice");
        requireAbove(endpointTokens, "endpointTokens");
        requireAbove(learnedTokens, "learnedTokens");
        reclaims = List.copyOf(reclaims);
        restarts = List.copyOf(restarts);
    }

    private static void requireAbove(final double value, final String name) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " must be above 0: " + value);
        }
    }

    /**
     * Reads a day from a file.
     *
     * @param file a JSON file
     * @return the day
     * @throws IOException if the file cannot be read, or a field is unknown or out of range
     */
    public static CapacityDay read(final Path file) throws IOException {
        return MAPPER.readValue(file.toFile(), CapacityDay.class);
    }

    /**
     * A failure domain.
     *
     * @param name the name of the domain
     * @param price the price of an on-demand endpoint per second
     * @param onDemand the initial number of on-demand endpoints
     * @param reclaimable the initial number of reclaimable endpoints
     */
    public record Domain(String name, double price, int onDemand, int reclaimable) {}

    /**
     * The demand of callers.
     *
     * @param tokensPerSecond the mean rate
     * @param requestTokens the mean size of a request, in tokens
     * @param swing the amplitude of the rate around the mean, relative to the mean
     * @param periodSeconds the period of the oscillation
     * @param targetSeconds the waiting time after which an answer is late
     * @param deadlineSeconds the waiting time after which a request is lost
     * @param bursts the periods of higher demand
     */
    public record Demand(
            double tokensPerSecond,
            double requestTokens,
            double swing,
            double periodSeconds,
            double targetSeconds,
            double deadlineSeconds,
            List<Burst> bursts) {}

    /**
     * A period of higher demand.
     *
     * @param at the start time
     * @param forSeconds the duration
     * @param factor the factor by which the rate is multiplied
     */
    public record Burst(double at, double forSeconds, double factor) {}

    /**
     * A reclaim of all reclaimable endpoints of a domain.
     *
     * @param at the time of the notice
     * @param domain the failure domain
     * @param noticeSeconds the time from the notice to the removal of the endpoints
     * @param drySeconds the time from the notice in which no domain offers reclaimable endpoints
     * @param holderMissingSeconds the time from the notice in which no capacity is ordered
     */
    public record Reclaim(
            double at,
            String domain,
            double noticeSeconds,
            double drySeconds,
            double holderMissingSeconds) {}
}
