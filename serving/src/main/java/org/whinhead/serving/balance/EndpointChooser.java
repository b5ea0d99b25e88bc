package org.whinhead.serving.balance;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Chooses the endpoint with the shortest expected wait.
 *
 * <p>The wait is estimated in milliseconds: prompts that are still to be read there (from all
 * daemons), requests that run there, the request's own tokens that are not cached there, and
 * penalties for failures and distance. Sessions have a home endpoint that every daemon computes
 * alike, so that their prompts are read once for the fleet and not once for each daemon. Only a few
 * candidates are compared, see {@link CandidateSampler}.
 */
public final class EndpointChooser {

    /** What a request that runs beside another one delays it by; from the engines' data sheet. */
    private static final double RUNNING_REQUEST_MILLIS = 2.0;

    /** What a plain service's request waits for each other one, relative to its places. */
    private static final double SLOT_MILLIS = 60.0;

    /** What a call to another failure domain costs: its way, and bytes that are billed. */
    private static final double OTHER_DOMAIN_MILLIS = 6.0;

    /** What an endpoint that fails all its requests is put behind. */
    private static final double FAILURE_MILLIS = 2_000.0;

    /**
     * Share of shared tokens taken as cached at a session's home, though nothing was sent there.
     */
    private static final double HOME_CACHED_SHARE = 0.9;

    /** Tokens of prompts that an engine keeps beside the running requests. */
    private static final long PREFIX_CACHE_TOKENS = 200_000;

    /** Shared tokens from which it pays to go to the session's home: 26 ms of reading. */
    private static final int MIN_SHARED_TOKENS = 1_000;

    /**
     * Shared tokens from which a copy pays. A copy has a fixed cost of some milliseconds at the
     * engine, in which it reads 150 to 200 tokens.
     */
    private static final int MIN_COPIED_TOKENS = 200;

    private final String mOwnDomain;
    private final CandidateSampler mSampler;
    private final Map<String, EndpointLoad> mLoads = new HashMap<>();
    private final Map<String, PrefillRate> mPrefillRates = new HashMap<>();

    /**
     * Makes a chooser that knows no load.
     *
     * @param ownDomain the failure domain of this daemon
     * @param random draws the endpoints that are compared
     */
    public EndpointChooser(final String ownDomain, final RandomGenerator random) {
        mOwnDomain = ownDomain;
        mSampler = new CandidateSampler(ownDomain, random);
    }

    /**
     * Chooses an endpoint and counts the request there.
     *
     * @param candidates the endpoints that may get it
     * @param work what the request asks
     * @param tried endpoints that it was sent to before
     * @param copies whether the endpoints copy cached prompts from each other
     * @param now the time
     * @return the place, if there is one
     */
    public Optional<Placement> place(
            final List<EndpointEntry> candidates,
            final Work work,
            final Set<String> tried,
            final boolean copies,
            final Instant now) {
        final List<EndpointEntry> untried =
                candidates.stream().filter(candidate -> !tried.contains(candidate.id())).toList();
        final List<EndpointEntry> open =
                untried.stream()
                        .filter(candidate -> load(candidate.id()).isAvailable(now))
                        .toList();
        final EndpointEntry best = findBest(open.isEmpty() ? untried : open, work);
        if (best == null) {
            return Optional.empty();
        }
        final EndpointLoad load = load(best.id());
        final Optional<EndpointEntry> source =
                copies ? promptSource(open, best, work) : Optional.empty();
        final int cached =
                Math.max(
                        load.cachedTokens(work),
                        source.map(endpoint -> load(endpoint.id()).cachedTokens(work)).orElse(0));
        final int unread = Math.max(work.promptTokens() - cached, 0);
        load.recordStart(work, unread);
        final Duration reading =
                Duration.ofMillis(
                        Math.round(unread / prefillRate(best.service()).tokensPerMillisecond()));
        return Optional.of(
                new Placement(
                        best,
                        load,
                        unread,
                        source,
                        reading,
                        prefillSampler(best.service(), work, now)));
    }

    /**
     * Finds the endpoint from which the chosen one should copy shared parts of a prompt. It is the
     * one to which most of them were sent from here, or else the session's home, where the other
     * daemons send them.
     */
    private Optional<EndpointEntry> promptSource(
            final List<EndpointEntry> open, final EndpointEntry chosen, final Work work) {
        if (open.isEmpty() || work.sharedTokens() < MIN_COPIED_TOKENS) {
            return Optional.empty();
        }
        EndpointEntry source = null;
        int most = load(chosen.id()).cachedTokens(work) + MIN_COPIED_TOKENS - 1;
        for (final EndpointEntry candidate : open) {
            final int cached = load(candidate.id()).cachedTokens(work);
            if (cached > most) {
                most = cached;
                source = candidate;
            }
        }
        if (source == null && most < work.sharedTokens()) {
            source = mSampler.sampleForSession(open, work.session()).get(0);
        }
        return Optional.ofNullable(source).filter(endpoint -> endpoint != chosen);
    }

    private Consumer<Instant> prefillSampler(
            final String service, final Work work, final Instant sentAt) {
        final int unshared = work.promptTokens() - work.sharedTokens();
        return firstTokenAt ->
                prefillRate(service).addSample(unshared, Duration.between(sentAt, firstTokenAt));
    }

    /**
     * Finds what was learned of a service's engines.
     *
     * @param service the service
     * @return how fast one of them reads prompts
     */
    public PrefillRate prefillRate(final String service) {
        return mPrefillRates.computeIfAbsent(service, name -> new PrefillRate());
    }

    private EndpointEntry findBest(final List<EndpointEntry> candidates, final Work work) {
        final boolean hasHome = work.sharedTokens() >= MIN_SHARED_TOKENS;
        final List<EndpointEntry> sample =
                hasHome
                        ? mSampler.sampleForSession(candidates, work.session())
                        : mSampler.sampleAny(candidates);
        EndpointEntry best = null;
        double least = Double.MAX_VALUE;
        for (final EndpointEntry candidate : sample) {
            final boolean home = hasHome && candidate == sample.get(0);
            final double wait = expectedWait(candidate, work, home);
            if (wait < least) {
                least = wait;
                best = candidate;
            }
        }
        return best;
    }

    private double expectedWait(final EndpointEntry endpoint, final Work work, final boolean home) {
        final EndpointLoad load = load(endpoint.id());
        double wait = load.failureShare() * load.failureShare() * FAILURE_MILLIS;
        if (!endpoint.domain().equals(mOwnDomain)) {
            wait += OTHER_DOMAIN_MILLIS;
        }
        wait += Math.min(endpoint.coldFor().toMillis(), 200);
        if (work.promptTokens() == 0) {
            return wait + SLOT_MILLIS * load.running() / Math.max(endpoint.slots(), 1);
        }
        double cached = load.cachedTokens(work);
        if (home) {
            cached = Math.max(cached, HOME_CACHED_SHARE * work.sharedTokens());
        }
        wait +=
                (load.promptTokens() + work.promptTokens() - cached)
                        / prefillRate(endpoint.service()).tokensPerMillisecond();
        return wait + RUNNING_REQUEST_MILLIS * load.running();
    }

    /**
     * Finds the load of an endpoint.
     *
     * @param endpoint its id
     * @return its load, empty at first
     */
    public EndpointLoad load(final String endpoint) {
        return mLoads.computeIfAbsent(endpoint, id -> new EndpointLoad(PREFIX_CACHE_TOKENS));
    }

    /**
     * Takes what another daemon has under way at an endpoint.
     *
     * @param daemon the other daemon
     * @param endpoint the endpoint
     * @param running its requests there
     * @param promptTokens their prompt tokens that are still to be read
     */
    public void updatePeerLoad(
            final String daemon,
            final String endpoint,
            final int running,
            final long promptTokens) {
        load(endpoint).updatePeer(daemon, running, promptTokens);
    }

    /**
     * Forgets what a daemon had under way, as it fell silent.
     *
     * @param daemon the daemon
     */
    public void forgetPeer(final String daemon) {
        mLoads.values().forEach(load -> load.forgetPeer(daemon));
    }

    /**
     * Forgets what is known of an endpoint that has started again: its cached prompts, its load and
     * its failures were those of the start before.
     *
     * @param endpoint its id
     */
    public void forgetEndpoint(final String endpoint) {
        mLoads.remove(endpoint);
    }

    /**
     * Drops the loads of endpoints that are gone.
     *
     * @param known the ids of all endpoints
     */
    public void retain(final Collection<String> known) {
        mLoads.entrySet()
                .removeIf(
                        entry ->
                                !known.contains(entry.getKey())
                                        && entry.getValue().ownRunning() == 0);
    }

    /**
     * Lists the loads of this daemon's own requests.
     *
     * @return the loads by endpoint
     */
    public Map<String, EndpointLoad> loads() {
        return mLoads;
    }
}
