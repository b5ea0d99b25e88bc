package org.whinhead.serving.balance;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.speed.EndpointSpeeds;

/**
 * Chooses the endpoint with the shortest expected wait.
 *
 * <p>The wait is estimated in milliseconds, from the prompts that are still to be prefilled there
 * (for all daemons), the requests that run there, the request's own tokens that are not cached
 * there, and penalties for failures and distance. Sessions have a home endpoint that every daemon
 * computes alike, so that their prompts are prefilled once for the fleet and not once for each
 * daemon. Only a few candidates are compared, see {@link CandidateSampler}.
 */
public final class EndpointChooser {

    /** The delay by each other running request, from the engines' data sheet. */
    private static final double RUNNING_REQUEST_MILLIS = 2.0;

    /** The delay by each request of a plain service, divided by the endpoint's slots. */
    private static final double SLOT_MILLIS = 60.0;

    /** The cost of a call to another failure domain: its latency and the billed bytes. */
    private static final double OTHER_DOMAIN_MILLIS = 6.0;

    /** The penalty of an endpoint that fails all requests, in milliseconds. */
    private static final double FAILURE_MILLIS = 2_000.0;

    /**
     * The penalty of an endpoint that is the only one of its software version: if it fails, nobody
     * can continue its streams. Small against the wait at a busy endpoint.
     */
    private static final double ONLY_ONE_OF_VERSION_MILLIS = 50.0;

    /** The cost of a new connection: its time, and what is billed for it. */
    private static final double NEW_CONNECTION_MILLIS = 2.0;

    /** The share of shared tokens assumed to be cached at the home, even if none was sent. */
    private static final double HOME_CACHED_SHARE = 0.9;

    /** The prompt tokens that an engine caches in addition to those of running requests. */
    private static final long PREFIX_CACHE_TOKENS = 200_000;

    /** The shared tokens from which the session's home is preferred. */
    private static final int MIN_SHARED_TOKENS = 1_000;

    /**
     * The shared tokens from which a copy pays. A copy has a fixed cost of some milliseconds at the
     * engine, in which it prefills 150 to 200 tokens.
     */
    private static final int MIN_COPIED_TOKENS = 200;

    /** The candidates from which a few are drawn without a look at all. */
    private static final int MIN_QUICK_CANDIDATES = 16;

    private final String mOwnDomain;
    private final CandidateSampler mSampler;
    private final RandomGenerator mRandom;
    private final Map<String, EndpointLoad> mLoads = new HashMap<>();
    private final Map<String, PrefillRate> mPrefillRates = new HashMap<>();
    private final Map<String, Set<String>> mPeerEndpoints = new HashMap<>();
    private final Map<String, LearnedCosts> mCosts = new HashMap<>();
    private final Optional<EndpointSpeeds> mSpeeds;
    private Optional<Predicate<String>> mHasIdle = Optional.empty();

    /**
     * Creates a chooser without any known load that takes all endpoints of a service as equally
     * fast.
     *
     * @param ownDomain the failure domain of this daemon
     * @param random the source of random candidates
     */
    public EndpointChooser(final String ownDomain, final RandomGenerator random) {
        this(ownDomain, random, Optional.empty());
    }

    /**
     * Creates a chooser without any known load.
     *
     * @param ownDomain the failure domain of this daemon
     * @param random the source of random candidates
     * @param speeds the learnt speeds of the endpoints; empty if they count as equally fast
     */
    public EndpointChooser(
            final String ownDomain,
            final RandomGenerator random,
            final Optional<EndpointSpeeds> speeds) {
        mOwnDomain = ownDomain;
        mSampler = new CandidateSampler(ownDomain, random);
        mRandom = random;
        mSpeeds = speeds;
    }

    /**
     * Returns the learnt speeds of the endpoints.
     *
     * @return the speeds; empty if endpoints count as equally fast
     */
    public Optional<EndpointSpeeds> speeds() {
        return mSpeeds;
    }

    /**
     * Takes into account which endpoints need no new connection.
     *
     * @param hasIdle returns whether there is an idle connection to the endpoint with an id
     */
    public void preferIdle(final Predicate<String> hasIdle) {
        mHasIdle = Optional.of(hasIdle);
    }

    /**
     * Chooses an endpoint and counts the request there.
     *
     * @param candidates the endpoints that may receive the request
     * @param work the work of the request
     * @param tried the ids of endpoints that the request was sent to before
     * @param copies whether the endpoints copy cached prompts from each other
     * @param now the current time
     * @return the placement; empty if there is no untried endpoint
     */
    public Optional<Placement> place(
            final List<EndpointEntry> candidates,
            final Work work,
            final Set<String> tried,
            final boolean copies,
            final Instant now) {
        final EndpointEntry quick = chooseQuickly(candidates, work, tried, now);
        if (quick != null) {
            return Optional.of(placeAt(quick, List.of(), work, false, now));
        }
        final List<EndpointEntry> untried =
                candidates.stream().filter(candidate -> !tried.contains(candidate.id())).toList();
        final List<EndpointEntry> available =
                untried.stream()
                        .filter(candidate -> load(candidate.id()).isAvailable(now))
                        .toList();
        final EndpointEntry test = dueTest(available, candidate -> true, now);
        final EndpointEntry best =
                test == null
                        ? findBest(available.isEmpty() ? untried : available, work, now)
                        : test;
        return best == null
                ? Optional.empty()
                : Optional.of(placeAt(best, available, work, copies, now));
    }

    /**
     * Chooses among a few endpoints without a look at all others, where speeds are learnt and the
     * request shares no prompt with others. Returns null if that is not enough for the choice.
     */
    private EndpointEntry chooseQuickly(
            final List<EndpointEntry> candidates,
            final Work work,
            final Set<String> tried,
            final Instant now) {
        if (mSpeeds.isEmpty()
                || candidates.size() < MIN_QUICK_CANDIDATES
                || work.sharedTokens() >= MIN_COPIED_TOKENS) {
            return null;
        }
        final Predicate<EndpointEntry> usable =
                candidate ->
                        !tried.contains(candidate.id()) && load(candidate.id()).isAvailable(now);
        final EndpointEntry test = dueTest(candidates, usable, now);
        if (test != null) {
            return test;
        }
        final List<EndpointEntry> sample = mSampler.drawAny(candidates, usable);
        if (sample.isEmpty()) {
            return null;
        }
        EndpointEntry best = null;
        double least = Double.MAX_VALUE;
        for (final EndpointEntry candidate : sample) {
            if (!candidate.version().equals(sample.get(0).version())) {
                return null;
            }
            final double wait = expectedWait(candidate, work, false, now);
            if (wait < least) {
                least = wait;
                best = candidate;
            }
        }
        return best;
    }

    private Placement placeAt(
            final EndpointEntry best,
            final List<EndpointEntry> available,
            final Work work,
            final boolean copies,
            final Instant now) {
        final EndpointLoad load = load(best.id());
        final Optional<EndpointEntry> source =
                copies ? promptSource(available, best, work) : Optional.empty();
        final int cached =
                Math.max(
                        load.cachedTokens(work),
                        source.map(endpoint -> load(endpoint.id()).cachedTokens(work)).orElse(0));
        final int prefillTokens = Math.max(work.promptTokens() - cached, 0);
        final long tokensAhead = load.promptTokens();
        load.recordStart(work, prefillTokens);
        final Duration prefillTime =
                Duration.ofMillis(
                        Math.round(
                                prefillTokens
                                        / prefillRate(best.service()).tokensPerMillisecond()));
        return new Placement(
                best,
                load,
                prefillTokens,
                source,
                prefillTime,
                prefillSampler(best, work, now),
                stepTimer(best, tokensAhead + prefillTokens, now));
    }

    /**
     * Returns an endpoint that counts as slow and gets this request to show whether it still is;
     * null in almost all cases.
     */
    private EndpointEntry dueTest(
            final List<EndpointEntry> available,
            final Predicate<EndpointEntry> usable,
            final Instant now) {
        if (mSpeeds.isEmpty() || available.isEmpty()) {
            return null;
        }
        final String id = mSpeeds.get().dueTest(available.get(0).service(), mRandom, now);
        if (id != null) {
            for (final EndpointEntry endpoint : available) {
                if (endpoint.id().equals(id) && usable.test(endpoint)) {
                    return endpoint;
                }
            }
        }
        return null;
    }

    private Optional<StepTimer> stepTimer(
            final EndpointEntry endpoint, final long tokens, final Instant now) {
        if (mSpeeds.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new StepTimer(
                        mSpeeds.get(),
                        costs(endpoint.service()),
                        endpoint,
                        load(endpoint.id()),
                        tokens / prefillRate(endpoint.service()).tokensPerMillisecond(),
                        now));
    }

    private LearnedCosts costs(final String service) {
        return mCosts.computeIfAbsent(
                service, name -> new LearnedCosts(RUNNING_REQUEST_MILLIS, SLOT_MILLIS));
    }

    /** Returns the time of an endpoint relative to a typical one; 1 if speeds are not learnt. */
    private double slowness(final EndpointEntry endpoint, final Instant now) {
        return mSpeeds.isEmpty()
                ? 1
                : mSpeeds.get().slowness(endpoint.service(), endpoint.id(), now);
    }

    /**
     * Returns whether a connection to an untried endpoint has not failed lately.
     *
     * @param candidates the endpoints that may receive the request
     * @param tried the ids of endpoints that the request was sent to before
     * @param now the current time
     * @return true if another attempt may succeed
     */
    public boolean hasAvailable(
            final List<EndpointEntry> candidates, final Set<String> tried, final Instant now) {
        return candidates.stream()
                .anyMatch(
                        candidate ->
                                !tried.contains(candidate.id())
                                        && load(candidate.id()).isAvailable(now));
    }

    /**
     * Returns the endpoint from which the chosen one should copy shared prompt parts: the one to
     * which this daemon sent most of them, or else the session's home, which other daemons use.
     */
    private Optional<EndpointEntry> promptSource(
            final List<EndpointEntry> available, final EndpointEntry chosen, final Work work) {
        if (available.isEmpty() || work.sharedTokens() < MIN_COPIED_TOKENS) {
            return Optional.empty();
        }
        EndpointEntry source = null;
        int most = load(chosen.id()).cachedTokens(work) + MIN_COPIED_TOKENS - 1;
        for (final EndpointEntry candidate : available) {
            final int cached = load(candidate.id()).cachedTokens(work);
            if (cached > most) {
                most = cached;
                source = candidate;
            }
        }
        if (source == null && most < work.sharedTokens()) {
            source = mSampler.sampleForSession(available, work.session()).get(0);
        }
        return Optional.ofNullable(source).filter(endpoint -> endpoint != chosen);
    }

    private Consumer<Instant> prefillSampler(
            final EndpointEntry endpoint, final Work work, final Instant sentAt) {
        final int unshared = work.promptTokens() - work.sharedTokens();
        return firstTokenAt ->
                prefillRate(endpoint.service())
                        .addSample(unshared, atTypical(endpoint, sentAt, firstTokenAt));
    }

    /** Returns a time at an endpoint as it would be at a typical one. */
    private Duration atTypical(
            final EndpointEntry endpoint, final Instant from, final Instant until) {
        final Duration taken = Duration.between(from, until);
        return mSpeeds.isEmpty()
                ? taken
                : Duration.ofNanos((long) (taken.toNanos() / slowness(endpoint, until)));
    }

    /**
     * Returns the measured prefill rate of a service's engines.
     *
     * @param service the service
     * @return the rate of one engine
     */
    public PrefillRate prefillRate(final String service) {
        return mPrefillRates.computeIfAbsent(service, name -> new PrefillRate());
    }

    /**
     * Returns the shortest expected wait of a request at endpoints that are compared for it.
     *
     * @param candidates the endpoints that may receive the request, at least one
     * @param work the work of the request
     * @param now the current time
     * @return the wait, the prefill of its own prompt included
     */
    public Duration shortestWait(
            final List<EndpointEntry> candidates, final Work work, final Instant now) {
        return Duration.ofMillis(Math.round(findShortestWait(candidates, work, now).waitMillis()));
    }

    private EndpointEntry findBest(
            final List<EndpointEntry> candidates, final Work work, final Instant now) {
        final VersionCounts versions = VersionCounts.of(candidates);
        final List<EndpointEntry> replaceable =
                candidates.stream().filter(endpoint -> !versions.isOnlyOne(endpoint)).toList();
        if (replaceable.isEmpty() || work.promptTokens() == 0) {
            return findShortestWait(candidates, work, now).endpoint();
        }
        Choice best = findShortestWait(replaceable, work, now);
        for (final EndpointEntry endpoint : candidates) {
            if (versions.isOnlyOne(endpoint)) {
                final double wait =
                        expectedWait(endpoint, work, false, now)
                                + connectMillis(endpoint)
                                + ONLY_ONE_OF_VERSION_MILLIS;
                best = wait < best.waitMillis() ? new Choice(endpoint, wait) : best;
            }
        }
        return best.endpoint();
    }

    private record Choice(EndpointEntry endpoint, double waitMillis) {}

    private Choice findShortestWait(
            final List<EndpointEntry> candidates, final Work work, final Instant now) {
        final boolean hasHome = work.sharedTokens() >= MIN_SHARED_TOKENS;
        final List<EndpointEntry> sample =
                hasHome
                        ? mSampler.sampleForSession(candidates, work.session())
                        : mSampler.sampleAny(candidates, mHasIdle);
        EndpointEntry best = null;
        double least = Double.MAX_VALUE;
        for (final EndpointEntry candidate : sample) {
            final boolean isHome = hasHome && candidate == sample.get(0);
            final double wait =
                    expectedWait(candidate, work, isHome, now) + connectMillis(candidate);
            if (wait < least) {
                least = wait;
                best = candidate;
            }
        }
        return new Choice(best, least);
    }

    private double connectMillis(final EndpointEntry endpoint) {
        return mHasIdle.isPresent() && !mHasIdle.get().test(endpoint.id())
                ? NEW_CONNECTION_MILLIS
                : 0;
    }

    private double expectedWait(
            final EndpointEntry endpoint,
            final Work work,
            final boolean isHome,
            final Instant now) {
        final EndpointLoad load = load(endpoint.id());
        double wait = load.failureShare() * load.failureShare() * FAILURE_MILLIS;
        if (!endpoint.domain().equals(mOwnDomain)) {
            wait += OTHER_DOMAIN_MILLIS;
        }
        wait += Math.min(endpoint.coldFor().toMillis(), 200);
        // The rest is what the endpoint itself causes.
        final double slowness = slowness(endpoint, now);
        if (work.promptTokens() == 0) {
            return wait + slowness * slotWait(endpoint, load);
        }
        double cached = load.cachedTokens(work);
        if (isHome) {
            cached = Math.max(cached, HOME_CACHED_SHARE * work.sharedTokens());
        }
        wait +=
                slowness
                        * ((load.promptTokens() + work.promptTokens() - cached)
                                / prefillRate(endpoint.service()).tokensPerMillisecond());
        return wait + slowness * runningWait(endpoint, load);
    }

    private double runningWait(final EndpointEntry endpoint, final EndpointLoad load) {
        return mSpeeds.isEmpty()
                ? RUNNING_REQUEST_MILLIS * load.running()
                : costs(endpoint.service()).loadMillis(load.running(), endpoint.slots());
    }

    /**
     * Returns the wait by the requests at a plain endpoint. With learnt speeds, the request itself
     * counts: otherwise all idle endpoints would be equally good.
     */
    private double slotWait(final EndpointEntry endpoint, final EndpointLoad load) {
        final int slots = Math.max(endpoint.slots(), 1);
        return mSpeeds.isEmpty()
                ? SLOT_MILLIS * load.running() / slots
                : costs(endpoint.service()).callMillis() * (load.running() + 1) / slots;
    }

    /**
     * Returns the load of an endpoint.
     *
     * @param endpoint the endpoint's id
     * @return its load, empty at first
     */
    public EndpointLoad load(final String endpoint) {
        return mLoads.computeIfAbsent(endpoint, id -> new EndpointLoad(PREFIX_CACHE_TOKENS));
    }

    /**
     * Ends the backoff of endpoints whose connections failed on the way and not at the endpoint.
     *
     * @param endpoints the endpoints
     */
    public void clearUnreachable(final Collection<EndpointEntry> endpoints) {
        endpoints.forEach(endpoint -> load(endpoint.id()).clearUnreachable());
    }

    /**
     * Updates another daemon's load at an endpoint.
     *
     * @param daemon the other daemon
     * @param endpoint the endpoint
     * @param running the number of its requests there
     * @param promptTokens the number of their prompt tokens that are still to be prefilled
     */
    public void updatePeerLoad(
            final String daemon,
            final String endpoint,
            final int running,
            final long promptTokens) {
        load(endpoint).updatePeer(daemon, running, promptTokens);
        mPeerEndpoints.computeIfAbsent(daemon, name -> new HashSet<>()).add(endpoint);
    }

    /**
     * Removes the load of a daemon that no longer reports.
     *
     * @param daemon the daemon
     */
    public void forgetPeer(final String daemon) {
        final Set<String> endpoints = mPeerEndpoints.remove(daemon);
        if (endpoints != null) {
            endpoints.stream()
                    .map(mLoads::get)
                    .filter(Objects::nonNull)
                    .forEach(load -> load.forgetPeer(daemon));
        }
    }

    /**
     * Removes the state of an endpoint that has restarted: its cached prompts, load and failures
     * were those of the earlier start.
     *
     * @param endpoint the endpoint's id
     */
    public void forgetEndpoint(final String endpoint) {
        mLoads.remove(endpoint);
        mSpeeds.ifPresent(speeds -> speeds.forget(endpoint));
    }

    /**
     * Removes the loads of endpoints that no longer exist and run no requests of this daemon.
     *
     * @param known the ids of all endpoints
     */
    public void retain(final Collection<String> known) {
        mLoads.entrySet()
                .removeIf(
                        entry ->
                                !known.contains(entry.getKey())
                                        && entry.getValue().ownRunning() == 0);
        mSpeeds.ifPresent(speeds -> speeds.retain(known));
    }

    /**
     * Returns the loads of all known endpoints.
     *
     * @return the loads by endpoint id
     */
    public Map<String, EndpointLoad> loads() {
        return mLoads;
    }
}
