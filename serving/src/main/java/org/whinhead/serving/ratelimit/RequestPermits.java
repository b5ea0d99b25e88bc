package org.whinhead.serving.ratelimit;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.ratelimit.OwnedLimits.ClaimKey;

/**
 * Permits for requests to endpoints that name a limit of requests per second.
 *
 * <p>A limit holds for all daemons together, and may be far below one request per second for each.
 * So each limited endpoint has one daemon that owns its limit and grants permits to all, a request
 * each, one interval apart. A daemon without the owner's permit doesn't send.
 */
public final class RequestPermits {

    /** The time after which a request for a permit is repeated; longer than a round trip. */
    static final Duration RESEND_INTERVAL = Duration.ofMillis(15);

    /** The requests for a permit after which its owner counts as unreachable. */
    static final int MAX_SENDS = 8;

    /** The owners that are asked for one permit. */
    private static final int MAX_OWNERS = 2;

    /** The time for which another daemon owns the limits of one that doesn't respond. */
    static final Duration UNREACHABLE_TIME = Duration.ofSeconds(2);

    /** The pause before an endpoint is tried again whose owner is not known. */
    private static final Duration NO_OWNER_PAUSE = Duration.ofMillis(100);

    /** A longer pause between calls that come several times a second: the process was stopped. */
    private static final Duration STOPPED_PAUSE = Duration.ofMillis(900);

    /** One claim at a time and endpoint is enough below this rate. */
    private static final double REQUESTS_PER_CLAIM = 4;

    private final InetSocketAddress mSelf;
    private final StatedLimits mLimits;
    private final Function<String, Optional<EndpointEntry>> mEndpoints;
    private final PermitTransport mTransport;
    private final LimitOwners mOwners;
    private final OwnedLimits mOwned = new OwnedLimits();
    private final Map<ClaimKey, Claim> mClaims = new LinkedHashMap<>();
    private final Map<String, Integer> mClaimCounts = new HashMap<>();
    private final PermitForecasts mForecasts = new PermitForecasts();
    private long mGranted;
    private long mDenied;
    private long mUnreachableOwners;
    private Instant mCheckedAt;
    private boolean mCheckScheduled;
    private long mLastId;

    /**
     * Creates permits of a daemon that knows no others.
     *
     * @param self the address at which other daemons reach this one
     * @param firstId a number that an earlier process at this address has not used lately
     * @param limits what endpoints have said
     * @param endpoints finds an endpoint by its id
     * @param transport sends messages to other daemons
     */
    public RequestPermits(
            final InetSocketAddress self,
            final long firstId,
            final StatedLimits limits,
            final Function<String, Optional<EndpointEntry>> endpoints,
            final PermitTransport transport) {
        mSelf = Objects.requireNonNull(self, "self");
        mLimits = Objects.requireNonNull(limits, "limits");
        mEndpoints = Objects.requireNonNull(endpoints, "endpoints");
        mTransport = Objects.requireNonNull(transport, "transport");
        mOwners = new LimitOwners(self);
        mLastId = firstId;
    }

    /** Receives the response to a claim, once. */
    @FunctionalInterface
    private interface Reply {
        void accept(PermitResponse response, Instant now);
    }

    private static final class Claim {
        private final PermitRequest mRequest;
        private final Reply mReply;
        private InetSocketAddress mOwner;
        private Instant mFirstSentAt;
        private Instant mSentAt;
        private int mSends;
        private int mOwnersAsked;

        private Claim(final PermitRequest request, final Reply reply) {
            mRequest = request;
            mReply = reply;
        }

        private ClaimKey key() {
            return new ClaimKey(mRequest.claimant(), mRequest.id());
        }
    }

    /**
     * Sets the daemons that may own limits; to be called several times a second. After a pause in
     * these calls other daemons may have granted permits, so that all schedules begin anew.
     *
     * @param daemons the addresses of the other daemons that are up and not about to stop
     * @param isLeaving whether this daemon is about to stop
     * @param expected the number of all daemons, those that are cut off included
     * @param now the current time
     */
    public void setDaemons(
            final Collection<InetSocketAddress> daemons,
            final boolean isLeaving,
            final int expected,
            final Instant now) {
        final Set<InetSocketAddress> owners = new HashSet<>(daemons);
        if (!isLeaving) {
            owners.add(mSelf);
        }
        if (mOwners.setDaemons(owners, expected)) {
            mOwned.retain(endpoint -> mOwners.isOwner(endpoint, now));
        }
        if (mCheckedAt != null && now.isAfter(mCheckedAt.plus(STOPPED_PAUSE))) {
            mOwned.clear();
        }
        mCheckedAt = now;
    }

    /**
     * Returns whether a request may get a permit within a time, as far as is known here.
     *
     * @param endpoint the endpoint's id
     * @param maxWait the longest wait
     * @param now the current time
     * @return true also if the endpoint names no limit
     */
    public boolean mayBeGranted(final String endpoint, final Duration maxWait, final Instant now) {
        final Optional<RequestRateLimit> limit = mLimits.limit(endpoint);
        if (limit.isEmpty()) {
            return true;
        }
        final int claims = mClaimCounts.getOrDefault(endpoint, 0);
        return claims <= limit.get().perSecond() / REQUESTS_PER_CLAIM
                && mForecasts.isDue(endpoint, now.plus(maxWait));
    }

    /**
     * Returns the time until an endpoint may get another request, as far as is known here.
     *
     * @param endpoint the endpoint's id
     * @param now the current time
     * @return the time; zero if it may get one now
     */
    public Duration untilFree(final String endpoint, final Instant now) {
        return mForecasts.timeLeft(endpoint, now);
    }

    /**
     * Asks for a permit to send an endpoint one request.
     *
     * @param endpoint the endpoint's id
     * @param maxWait the longest time until the request may be sent
     * @param listener receives the outcome
     * @param now the current time
     */
    public void claim(
            final String endpoint,
            final Duration maxWait,
            final PermitListener listener,
            final Instant now) {
        final Optional<LimitStatement> statement =
                mLimits.statement(endpoint).filter(stated -> stated.limit().isPresent());
        if (statement.isEmpty()) {
            listener.granted(Duration.ZERO, () -> {});
            return;
        }
        final PermitRequest request =
                new PermitRequest(mSelf, ++mLastId, statement.get(), maxWait, false);
        mClaimCounts.merge(endpoint, 1, Integer::sum);
        dispatch(
                new Claim(request, (response, at) -> claimed(request, response, listener, at)),
                now);
    }

    private void claimed(
            final PermitRequest request,
            final PermitResponse response,
            final PermitListener listener,
            final Instant now) {
        final String endpoint = request.endpoint();
        mClaimCounts.computeIfPresent(endpoint, (id, count) -> count > 1 ? count - 1 : null);
        if (response.outcome().isGranted()) {
            final Duration interval = interval(endpoint).orElse(Duration.ZERO);
            mForecasts.record(endpoint, now.plus(response.after()).plus(interval), now);
            mGranted++;
            listener.granted(response.after(), () -> giveBack(request, now));
        } else {
            mForecasts.record(endpoint, now.plus(response.after()), now);
            mDenied++;
            listener.denied();
        }
    }

    private void giveBack(final PermitRequest request, final Instant now) {
        mForecasts.remove(request.endpoint());
        final InetSocketAddress owner = mOwners.owner(request.endpoint(), now);
        if (owner.equals(mSelf)) {
            handleReturn(request);
        } else {
            mTransport.sendReturn(owner, request);
        }
    }

    private void dispatch(final Claim claim, final Instant now) {
        final PermitRequest request = claim.mRequest;
        claim.mOwner = mOwners.owner(request.endpoint(), now);
        claim.mOwnersAsked++;
        claim.mSends = 0;
        claim.mFirstSentAt = now;
        if (claim.mOwner.equals(mSelf)) {
            mClaims.remove(claim.key());
            claim.mReply.accept(decide(request, now), now);
            return;
        }
        mClaims.put(claim.key(), claim);
        send(claim, now);
        scheduleCheck();
    }

    private void send(final Claim claim, final Instant now) {
        claim.mSends++;
        claim.mSentAt = now;
        mTransport.sendRequest(claim.mOwner, claim.mRequest);
    }

    private void scheduleCheck() {
        if (!mCheckScheduled) {
            mCheckScheduled = true;
            mTransport.scheduleTimeoutCheck(RESEND_INTERVAL);
        }
    }

    /**
     * Repeats requests that were not responded to. The owner of one that was repeated often enough
     * counts as unreachable, unless it has responded to others meanwhile, and the next daemon is
     * asked.
     *
     * @param now the current time
     */
    public void checkTimeouts(final Instant now) {
        mCheckScheduled = false;
        for (final Claim claim : List.copyOf(mClaims.values())) {
            if (claim.mSentAt.plus(RESEND_INTERVAL).isAfter(now)) {
                continue;
            }
            if (claim.mSends < MAX_SENDS) {
                send(claim, now);
            } else {
                ownerUnreachable(claim, now);
            }
        }
        if (!mClaims.isEmpty()) {
            scheduleCheck();
        }
    }

    private void ownerUnreachable(final Claim claim, final Instant now) {
        final boolean isSilent = !mOwners.hasRespondedSince(claim.mOwner, claim.mFirstSentAt);
        if (isSilent) {
            mUnreachableOwners++;
            mOwners.recordUnreachable(claim.mOwner, now.plus(UNREACHABLE_TIME));
        }
        if (isSilent && claim.mOwnersAsked < MAX_OWNERS) {
            dispatch(claim, now);
        } else {
            mClaims.remove(claim.key());
            final PermitOutcome outcome = PermitOutcome.NOT_OWNER;
            claim.mReply.accept(respond(claim.mRequest, outcome, NO_OWNER_PAUSE), now);
        }
    }

    /**
     * Handles another daemon's request. If this daemon doesn't own the limit it asks the owner: the
     * claimant may be cut from it, or not know it yet.
     *
     * @param request the request
     * @param sender the daemon that has sent it
     * @param now the current time
     */
    public void handleRequest(
            final PermitRequest request, final InetSocketAddress sender, final Instant now) {
        apply(request.statement(), now);
        if (mOwners.isOwner(request.endpoint(), now)) {
            mTransport.sendResponse(sender, decide(request, now));
            return;
        }
        mOwned.retain(endpoint -> !endpoint.equals(request.endpoint()));
        if (request.isForwarded()) {
            mTransport.sendResponse(
                    sender, respond(request, PermitOutcome.NOT_OWNER, NO_OWNER_PAUSE));
            return;
        }
        final PermitRequest forwarded =
                new PermitRequest(
                        request.claimant(),
                        request.id(),
                        request.statement(),
                        request.maxWait(),
                        true);
        final Claim claim =
                new Claim(
                        forwarded,
                        (response, at) -> mTransport.sendResponse(request.claimant(), response));
        if (!mClaims.containsKey(claim.key())) {
            dispatch(claim, now);
        }
    }

    /** Decides as the owner of the limit. */
    private PermitResponse decide(final PermitRequest request, final Instant now) {
        final LimitStatement known =
                mLimits.statement(request.endpoint()).orElse(request.statement());
        final Optional<Duration> interval =
                known.limit().map(limit -> limit.interval(mOwners.share()));
        if (interval.isEmpty()) {
            return respond(request, PermitOutcome.GRANTED, Duration.ZERO);
        }
        final ClaimKey key = new ClaimKey(request.claimant(), request.id());
        final Optional<Instant> at =
                mOwned.reserve(key, request.endpoint(), interval.get(), request.maxWait(), now);
        if (at.isEmpty()) {
            final Duration untilFree = mOwned.untilFree(request.endpoint(), interval.get(), now);
            return respond(request, PermitOutcome.AT_LIMIT, untilFree);
        }
        final Duration wait = Duration.between(now, at.get());
        return respond(request, PermitOutcome.GRANTED, wait.isNegative() ? Duration.ZERO : wait);
    }

    private PermitResponse respond(
            final PermitRequest request, final PermitOutcome outcome, final Duration wait) {
        return new PermitResponse(
                request.claimant(),
                request.id(),
                outcome,
                wait,
                mLimits.statement(request.endpoint()).orElse(request.statement()));
    }

    private Optional<Duration> interval(final String endpoint) {
        return mLimits.limit(endpoint).map(limit -> limit.interval(mOwners.share()));
    }

    private void apply(final LimitStatement statement, final Instant now) {
        mEndpoints
                .apply(statement.endpoint())
                .ifPresent(endpoint -> mLimits.apply(endpoint, statement, now));
    }

    /**
     * Handles the response to a request of this daemon, or to one that it has passed on.
     *
     * @param response the response
     * @param sender the daemon that has sent it
     * @param now the current time
     */
    public void handleResponse(
            final PermitResponse response, final InetSocketAddress sender, final Instant now) {
        mOwners.recordResponse(sender, now);
        apply(response.statement(), now);
        final Claim claim = mClaims.remove(new ClaimKey(response.claimant(), response.id()));
        if (claim != null) {
            claim.mReply.accept(response, now);
        }
    }

    /**
     * Frees the time of a permit that was not used.
     *
     * @param request the request that it was granted to
     */
    public void handleReturn(final PermitRequest request) {
        mOwned.release(new ClaimKey(request.claimant(), request.id()));
    }

    /**
     * Returns the permits that requests of this daemon got.
     *
     * @return the number so far
     */
    public long grantedCount() {
        return mGranted;
    }

    /**
     * Returns the permits that requests of this daemon did not get.
     *
     * @return the number so far
     */
    public long deniedCount() {
        return mDenied;
    }

    /**
     * Returns how often an owner did not respond and another daemon was asked.
     *
     * @return the number so far
     */
    public long unreachableOwnerCount() {
        return mUnreachableOwners;
    }

    /**
     * Forgets what is known of endpoints that no longer exist.
     *
     * @param known the ids of all endpoints
     */
    public void retain(final Collection<String> known) {
        mForecasts.retain(known);
        mOwned.retain(known);
    }
}
