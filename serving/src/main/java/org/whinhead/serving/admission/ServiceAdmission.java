package org.whinhead.serving.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Decides whether a request may be placed now, waits at this daemon, or is refused.
 *
 * <p>While endpoints have free slots, requests are placed at once. Beyond that the most urgent rank
 * present is placed as long as the endpoints have places in their queues, and the others wait until
 * slots are free again. A request is refused if its answer can't come in its useful time. The most
 * urgent rank is neither held back nor refused while less urgent work is in progress.
 */
public final class ServiceAdmission {

    /** The longest time until a waiting request is examined again. */
    public static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

    /** The reason of a refusal for want of time. */
    public static final String TOO_LATE = "no answer possible in its useful time";

    /** The reason of a refusal after a wait in which more urgent work got the slots. */
    public static final String GAVE_WAY = "slots taken by more urgent work";

    /** The reason of a refusal after a wait in which the endpoints were full of its own rank. */
    public static final String FULL = "endpoints full";

    /** The reason of a refusal as no endpoint is left. */
    public static final String NO_ENDPOINT = "no endpoint left";

    /** The reason of a refusal by a daemon that stops, before endpoints that are full. */
    public static final String STOPPING = "stopping before full endpoints";

    /** The longest wait of a request that others of its rank or more urgent ones delay. */
    private static final Duration MAX_HOLD = Duration.ofMillis(1_500);

    /** The time for which less urgent requests wait after a more urgent one was refused. */
    private static final Duration AFTER_REFUSAL = Duration.ofMillis(250);

    /** The part of the places up to which they are filled: reports come late, rejections cost. */
    private static final double FULL_SHARE = 0.9;

    /** The part of the queues that requests get which have waited for as long as they may. */
    private static final double QUEUE_SHARE_AFTER_HOLD = 0.25;

    /** The time for which a request holds a slot as long as none has ended. */
    private static final double DEFAULT_SLOT_MILLIS = 60;

    /** The ages of reports, in times of a slot, at which as many requests again are sent ahead. */
    private static final double AHEAD_TIMES = 4;

    private final RandomGenerator mRandom;
    private final PeerWork mPeers = new PeerWork();
    private final Map<String, ServiceState> mServices = new HashMap<>();
    private boolean mStopping;

    /**
     * Creates an admission without requests.
     *
     * @param random spreads what several daemons in the same state do
     */
    public ServiceAdmission(final RandomGenerator random) {
        mRandom = Objects.requireNonNull(random, "random");
    }

    private ServiceState state(final String service) {
        return mServices.computeIfAbsent(service, name -> new ServiceState());
    }

    /**
     * Returns a builder of a service's load, with the requests over all daemons.
     *
     * @param service the service
     * @param now the current time
     * @return a builder without endpoints
     */
    public ServiceLoad.Builder load(final String service, final Instant now) {
        return ServiceLoad.builder()
                .requests(
                        state(service).running().plus(mPeers.running(service)),
                        mPeers.waiting(service),
                        mPeers.meanAge());
    }

    /**
     * Decides about a request that was never placed; again and again while it waits.
     *
     * @param request the request
     * @param load the load of the endpoints that may receive it
     * @param now the current time
     * @return the decision; a request that does not wait is no longer known here
     */
    public AdmissionDecision decide(
            final AdmissionRequest request, final ServiceLoad load, final Instant now) {
        final ServiceState state = state(request.service());
        final Examination examination = new Examination(state, request, load, now);
        final AdmissionDecision decision = examination.decide();
        switch (decision.action()) {
            case PLACE -> state.waiting().placed(request.id());
            case REFUSE -> {
                state.waiting().remove(request.id());
                state.refused(request.rank(), now);
            }
            default -> {
                if (state.waiting().counts().total() == 0) {
                    state.pace().start(mRandom.nextDouble(), now);
                }
                state.waiting().add(request, now);
            }
        }
        return decision;
    }

    /**
     * Counts a request that is about to be sent to a service's endpoints.
     *
     * @param service the service
     * @param route the name of the request's route
     * @param rank the request's rank
     * @param load the load at that time
     * @param now the current time
     * @return the request, which counts until it is ended
     */
    public PlacedRequest place(
            final String service,
            final String route,
            final int rank,
            final ServiceLoad load,
            final Instant now) {
        final boolean slotsFree = load.running().total() < load.slots();
        return new PlacedRequest(state(service), route, RankCounts.index(rank), slotsFree, now);
    }

    /**
     * Records that an endpoint rejected a request for want of room.
     *
     * @param service the endpoint's service
     * @param now the current time
     */
    public void recordRejection(final String service, final Instant now) {
        state(service).times().recordRejection(now);
    }

    /**
     * Removes a waiting request whose caller has left.
     *
     * @param request the request
     */
    public void withdraw(final AdmissionRequest request) {
        state(request.service()).waiting().remove(request.id());
    }

    /**
     * Returns the waiting requests of a service.
     *
     * @param service the service
     * @return the requests in the order in which they are to be examined
     */
    public List<AdmissionRequest> waiting(final String service) {
        return state(service).waiting().inOrder();
    }

    /** Lets no further request wait, as this daemon is about to stop. */
    public void stop() {
        mStopping = true;
    }

    /**
     * Returns this daemon's requests, for its reports and metrics.
     *
     * @return the requests of each service that has any
     */
    public List<ServiceWork> ownWork() {
        final List<ServiceWork> work = new ArrayList<>();
        mServices.forEach(
                (service, state) -> {
                    if (!state.isIdle()) {
                        work.add(
                                new ServiceWork(
                                        service, state.running(), state.waiting().counts()));
                    }
                });
        return work;
    }

    /**
     * Applies another daemon's report.
     *
     * @param daemon the daemon
     * @param work its requests
     * @param now the current time
     */
    public void applyReport(final String daemon, final List<ServiceWork> work, final Instant now) {
        mPeers.update(daemon, work, now);
    }

    /**
     * Forgets the requests of daemons that have not reported for a time.
     *
     * @param maxAge the age of a report from which it no longer counts
     * @param now the current time
     */
    public void expire(final Duration maxAge, final Instant now) {
        mPeers.expire(maxAge, now);
    }

    /**
     * Forgets the requests of a daemon that is leaving or silent.
     *
     * @param daemon the daemon
     */
    public void forgetDaemon(final String daemon) {
        mPeers.forget(daemon);
    }

    /** The examination of one request. */
    private final class Examination {

        private final ServiceState mState;
        private final AdmissionRequest mRequest;
        private final ServiceLoad mLoad;
        private final Instant mNow;
        private final WaitEstimate mEstimate;
        private final int mRunning;
        private final boolean mMostUrgent;

        private Examination(
                final ServiceState state,
                final AdmissionRequest request,
                final ServiceLoad load,
                final Instant now) {
            mState = state;
            mRequest = request;
            mLoad = load;
            mNow = now;
            mEstimate = new WaitEstimate(state.times(), load, now);
            mRunning = state.times().running(load, now);
            mMostUrgent = moreUrgent() == 0;
        }

        private int moreUrgent() {
            final int rank = mRequest.rank();
            return mLoad.running().moreUrgentThan(rank)
                    + mLoad.waitingElsewhere().moreUrgentThan(rank)
                    + mState.waiting().counts().moreUrgentThan(rank);
        }

        private AdmissionDecision decide() {
            if (mLoad.slots() == 0) {
                return refuse(NO_ENDPOINT);
            }
            final boolean first = !mState.waiting().contains(mRequest.id());
            final boolean next = mState.waiting().isNext(mRequest);
            if (isYieldedTo() || first && next && mRunning < mLoad.slots()) {
                return AdmissionDecision.place(mNow);
            }
            if (mRunning >= mLoad.slots() && mEstimate.isTooLate(mRequest)) {
                return refuse(TOO_LATE);
            }
            if (mStopping) {
                return mRunning < fullLevel() ? AdmissionDecision.place(mNow) : refuse(STOPPING);
            }
            if (mRunning < limit() && next && !hasRefusedMoreUrgent() && (first || isDue())) {
                return AdmissionDecision.place(mNow);
            }
            return held(first, next);
        }

        /** Returns whether less urgent work has the slots, so that this request must get one. */
        private boolean isYieldedTo() {
            return mMostUrgent && mLoad.running().lessUrgentThan(mRequest.rank()) > 0;
        }

        private boolean hasRefusedMoreUrgent() {
            return mState.hasRefusedMoreUrgent(mRequest.rank(), AFTER_REFUSAL, mNow);
        }

        private AdmissionDecision refuse(final String reason) {
            return AdmissionDecision.refuse(
                    mNow, mEstimate.retryAfter(mRequest, mState.waiting().counts()), reason);
        }

        private double fullLevel() {
            return mLoad.places() * FULL_SHARE;
        }

        /**
         * Returns the requests in progress up to which this one is placed. Reports are late, and
         * slots would be idle until the next ones: the older they are, the more requests are sent
         * ahead to the queues of the endpoints, up to as many as there are slots.
         */
        private double limit() {
            if (mMostUrgent) {
                return fullLevel();
            }
            final double slotMillis = mState.times().slotMillis().orElse(DEFAULT_SLOT_MILLIS);
            final double age = (double) mLoad.reportAge().toMillis();
            return mLoad.slots() * (1 + Math.min(age / (AHEAD_TIMES * slotMillis), 1));
        }

        private boolean isDue() {
            final int here = mState.waiting().counts().total();
            final double share = (double) here / (here + mLoad.waitingElsewhere().total());
            mState.pace().advance(limit() - mRunning, share, mLoad.reportAge(), mNow);
            return mState.pace().take();
        }

        private AdmissionDecision held(final boolean first, final boolean next) {
            final Instant since = first ? mNow : mState.waiting().add(mRequest, mNow).since();
            final Instant latestStart = mEstimate.latestStart(mRequest);
            final Instant holdEnd = holdEnd(since);
            if (!mNow.isBefore(holdEnd)) {
                return afterHold(next);
            }
            if (!mNow.isBefore(latestStart)) {
                return refuse(mMostUrgent ? FULL : GAVE_WAY);
            }
            return AdmissionDecision.await(
                    earliest(earliest(mNow.plus(CHECK_INTERVAL), latestStart), holdEnd));
        }

        private Instant holdEnd(final Instant since) {
            final Duration half = Duration.between(since, mRequest.usefulUntil()).dividedBy(2);
            return since.plus(half.compareTo(MAX_HOLD) < 0 ? half : MAX_HOLD);
        }

        /**
         * Decides at the end of the hold. Only the next request may exceed the limit: if all that
         * have waited did, a customer that floods would keep the endpoints above it, and the order
         * of the waiting requests would have no effect.
         */
        private AdmissionDecision afterHold(final boolean next) {
            final double queued = mLoad.places() - mLoad.slots();
            final double most =
                    mMostUrgent ? mLoad.places() : limit() + queued * QUEUE_SHARE_AFTER_HOLD;
            if (next && mRunning < most) {
                return AdmissionDecision.place(mNow);
            }
            return refuse(mMostUrgent ? FULL : GAVE_WAY);
        }
    }

    private static Instant earliest(final Instant one, final Instant other) {
        return one.isBefore(other) ? one : other;
    }
}
