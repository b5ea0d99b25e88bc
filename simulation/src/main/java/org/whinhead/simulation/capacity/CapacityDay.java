package org.whinhead.simulation.capacity;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.whinhead.api.Arguments;

/**
 * What happens on a simulated day; read from a JSON file, times in seconds from the first traffic.
 *
 * @param name names the day
 * @param leadSeconds how long the deployment is up before its first traffic
 * @param lengthSeconds how long traffic lasts
 * @param domains the failure domains
 * @param mostInDomain the most endpoints of a failure domain, of both kinds
 * @param bootSeconds how long an endpoint takes to start
 * @param reclaimablePrice the price of a reclaimable endpoint, as a part of the other kind's
 * @param endpointTokens what an endpoint can read of the demand, in tokens a second
 * @param learnedTokens what daemons learn that it reads, in tokens a second
 * @param reportSeconds how old the demand is that the planner sees
 * @param demand what callers ask
 * @param reclaims what the platform takes back
 * @param restarts when all daemons are killed at once; nobody orders for three seconds then
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

    /** Checks and copies the parts. */
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
     * Reads a day.
     *
     * @param file a JSON file
     * @return the day
     * @throws IOException if it can't be read, or a field is unknown or out of range
     */
    public static CapacityDay read(final Path file) throws IOException {
        return MAPPER.readValue(file.toFile(), CapacityDay.class);
    }

    /**
     * A failure domain.
     *
     * @param name its name
     * @param price the price of a second of an endpoint on demand
     * @param onDemand endpoints on demand that are there at first
     * @param reclaimable reclaimable ones that are there at first
     */
    public record Domain(String name, double price, int onDemand, int reclaimable) {}

    /**
     * What callers ask.
     *
     * @param tokensPerSecond the mean
     * @param requestTokens the size of a usual request
     * @param swing how far the rate swings about the mean, as a part of it
     * @param periodSeconds the length of a wave
     * @param targetSeconds the wait after which an answer is late
     * @param deadlineSeconds the wait after which it is lost
     * @param bursts times of higher demand
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
     * A time of higher demand.
     *
     * @param at when it begins
     * @param forSeconds how long it lasts
     * @param factor how many times the usual is asked
     */
    public record Burst(double at, double forSeconds, double factor) {}

    /**
     * All reclaimable endpoints of a domain are taken back.
     *
     * @param at when it is announced
     * @param domain the domain
     * @param noticeSeconds how long they serve on
     * @param drySeconds how long none are to be had in any domain
     * @param holderMissingSeconds how long nobody orders, from the announcement on
     */
    public record Reclaim(
            double at,
            String domain,
            double noticeSeconds,
            double drySeconds,
            double holderMissingSeconds) {}
}
