package org.whinhead.serving.balance;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Samples the few endpoints that are compared for a request.
 *
 * <p>A daemon's knowledge of the others' load is as old as their last report. If each of many
 * daemons compared all endpoints, all would send every request to the endpoint that was idle at the
 * last report. Comparing a few that differ from request to request spreads the load, and is nearly
 * as good as comparing all with current knowledge (Mitzenmacher, "How useful is old information?").
 */
final class CandidateSampler {

    /** The number of endpoints that are compared. */
    private static final int SAMPLE_SIZE = 4;

    /** The number of them in other failure domains, if the request has no home. */
    private static final int OTHER_DOMAIN_CANDIDATES = 1;

    /** The endpoints that are looked at for one with an idle connection: a bound for the cost. */
    private static final int MAX_IDLE_LOOKUPS = 48;

    /** The draws after which endpoints of other domains fill the sample. */
    private static final int NEAR_DRAWS = 16;

    /** The draws after which a sample may stay small. */
    private static final int MAX_DRAWS = 32;

    /** An odd constant with evenly spread bits: 2 to the 64 over the golden ratio. */
    private static final long SPREAD_FACTOR = 0x9E3779B97F4A7C15L;

    private final String mOwnDomain;
    private final RandomGenerator mRandom;

    CandidateSampler(final String ownDomain, final RandomGenerator random) {
        mOwnDomain = ownDomain;
        mRandom = random;
    }

    /**
     * Returns a session's endpoints, the same ones on every daemon (rendezvous hashing): those with
     * the highest hashes of their id and the session.
     *
     * @param candidates the endpoints to sample from
     * @param session the session's name
     * @return the sampled endpoints, the session's home first
     */
    List<EndpointEntry> sampleForSession(
            final List<EndpointEntry> candidates, final String session) {
        return candidates.stream()
                .map(candidate -> new Ranked(candidate, hash(candidate.id() + '/' + session)))
                .sorted(Comparator.comparingLong(Ranked::hash).reversed())
                .limit(SAMPLE_SIZE)
                .map(Ranked::endpoint)
                .toList();
    }

    /**
     * Returns endpoints for a request without a home, most of them in this daemon's failure domain.
     *
     * @param candidates the endpoints to sample from
     * @param hasIdle returns whether there is an idle connection to an endpoint; if it is present
     *     and the sample has no such endpoint, one is added
     * @return the sampled endpoints, in no particular order
     */
    List<EndpointEntry> sampleAny(
            final List<EndpointEntry> candidates, final Optional<Predicate<String>> hasIdle) {
        final List<EndpointEntry> near = new ArrayList<>();
        final List<EndpointEntry> far = new ArrayList<>();
        for (final EndpointEntry candidate : candidates) {
            (candidate.domain().equals(mOwnDomain) ? near : far).add(candidate);
        }
        final List<EndpointEntry> sample = new ArrayList<>(SAMPLE_SIZE);
        draw(far, Math.max(OTHER_DOMAIN_CANDIDATES, SAMPLE_SIZE - near.size()), sample);
        draw(near, SAMPLE_SIZE - sample.size(), sample);
        hasIdle.ifPresent(isIdle -> addIdle(near, isIdle, sample));
        return sample;
    }

    /** Adds one of the endpoints that were not drawn if it saves a connection. */
    private void addIdle(
            final List<EndpointEntry> from,
            final Predicate<String> hasIdle,
            final List<EndpointEntry> into) {
        if (from.isEmpty() || into.stream().anyMatch(endpoint -> hasIdle.test(endpoint.id()))) {
            return;
        }
        final int start = mRandom.nextInt(from.size());
        for (int offset = 0; offset < Math.min(from.size(), MAX_IDLE_LOOKUPS); offset++) {
            final EndpointEntry endpoint = from.get((start + offset) % from.size());
            if (hasIdle.test(endpoint.id())) {
                into.add(endpoint);
                return;
            }
        }
    }

    /**
     * Returns endpoints for a request without a home, without a look at all candidates: of 1,800,
     * that alone would take longer than the decision may.
     *
     * @param candidates the endpoints to sample from
     * @param usable whether an endpoint may be sampled
     * @return the sampled endpoints; empty if none was found in some draws
     */
    List<EndpointEntry> drawAny(
            final List<EndpointEntry> candidates, final Predicate<EndpointEntry> usable) {
        final List<EndpointEntry> sample = new ArrayList<>(SAMPLE_SIZE);
        int far = 0;
        for (int draw = 0; draw < MAX_DRAWS && sample.size() < SAMPLE_SIZE; draw++) {
            final EndpointEntry candidate = candidates.get(mRandom.nextInt(candidates.size()));
            final boolean isFar = !candidate.domain().equals(mOwnDomain);
            final boolean fits = !isFar || far < OTHER_DOMAIN_CANDIDATES || draw >= NEAR_DRAWS;
            if (fits && !sample.contains(candidate) && usable.test(candidate)) {
                sample.add(candidate);
                far += isFar ? 1 : 0;
            }
        }
        return sample;
    }

    private void draw(
            final List<EndpointEntry> from, final int count, final List<EndpointEntry> into) {
        for (int drawn = 0; drawn < count && !from.isEmpty(); drawn++) {
            into.add(from.remove(mRandom.nextInt(from.size())));
        }
    }

    private static long hash(final String text) {
        final CRC32 checksum = new CRC32();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return spread(checksum.getValue());
    }

    /**
     * Spreads a checksum over all bits. Checksums of texts with a common prefix differ by a
     * constant pattern, which would give some endpoints far more sessions than others.
     */
    private static long spread(final long checksum) {
        final long mixed = (checksum ^ (checksum >>> 16)) * SPREAD_FACTOR;
        return (mixed ^ (mixed >>> 29)) & Long.MAX_VALUE;
    }

    private record Ranked(EndpointEntry endpoint, long hash) {}
}
