package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.whinhead.gateway.endpoint.ConnectFailure;
import org.whinhead.gateway.endpoint.EndpointConnection;
import org.whinhead.serving.admission.AdmissionDecision;
import org.whinhead.serving.balance.Placement;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Finds an endpoint that was not tried before, and a connection to it, for each attempt. */
final class ConnectionSearch {

    /** The number of failed connects after which a request that was not sent is refused. */
    private static final int MAX_CONNECT_FAILURES = 4;

    /** A connect that is refused takes a few milliseconds, one without a reply far longer. */
    private static final Duration SLOW_CONNECT = Duration.ofMillis(200);

    /** The longest wait for a permit of an endpoint that names a limit of requests per second. */
    private static final Duration MAX_PERMIT_WAIT = Duration.ofMillis(200);

    /** The part of the time left that a request may wait for a permit is one over this. */
    private static final int PERMIT_WAIT_DIVISOR = 8;

    /** The same for a run that was moved: it can go on only at its endpoint. */
    private static final Duration MAX_MOVED_WAIT = Duration.ofMillis(500);

    /** The denied permits after which only endpoints without a limit are tried. */
    private static final int MAX_DENIALS = 3;

    /** The pause before a request looks for room at brittle endpoints again. */
    private static final int ROOM_WAIT_MILLIS = 10;

    /** The pauses after which it is refused: together longer than most plain calls run. */
    private static final int MAX_ROOM_WAITS = 10;

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final String mService;
    private final StreamTracker mStream;
    private final Conditions mConditions;
    private final Listener mListener;
    private final PermitGate mGate;
    private final AdmissionPass mPass;
    private final Set<String> mTriedEndpoints = new HashSet<>();
    private Placement mPlacement;
    private Placement mOnlyPlacement;
    private Optional<Placement> mUnconfirmed = Optional.empty();
    private Instant mConnectStartedAt;
    private int mConnectFailures;
    private int mRoomWaits;
    private int mDenials;
    private int mSearchId;

    ConnectionSearch(
            final Exchanges exchanges,
            final AdmittedRequest admission,
            final String service,
            final StreamTracker stream,
            final Conditions conditions,
            final Listener listener) {
        mExchanges = exchanges;
        mAdmission = admission;
        mService = service;
        mStream = stream;
        mConditions = conditions;
        mListener = listener;
        mGate = new PermitGate(exchanges.state(), exchanges.loop());
        mPass = new AdmissionPass(exchanges, admission, service, stream);
    }

    /**
     * What may change about the request while it waits.
     *
     * @param isSuspect returns whether endpoints crash under requests like it
     * @param mayBeSent returns whether this process lasts as long as the request may take
     */
    record Conditions(BooleanSupplier isSuspect, BooleanSupplier mayBeSent) {}

    /** Receives the outcome of a search. */
    interface Listener {

        /** Called when an endpoint was chosen, before a connection is made. */
        void placed(Placement placement);

        /** Called when there is a connection to the chosen endpoint. */
        void connected(EndpointConnection connection);

        /**
         * Called if all endpoints name limits of requests per second that are used up.
         *
         * @param endpoints these endpoints
         */
        void atRequestLimit(List<EndpointEntry> endpoints);

        /** Called if the service has no capacity for the request in its useful time. */
        void notAdmitted(AdmissionDecision decision);

        /** Called if this process may end before the request has an answer. */
        void processEndsBefore();

        /** Called if no endpoint or no connection was found. */
        void notConnected(String reason);
    }

    /** Searches for an untried endpoint, once the service has capacity for the request. */
    void start() {
        mPass.enter(this::search, mListener::notAdmitted);
    }

    private void search() {
        final List<EndpointEntry> listed = untried(candidates());
        final List<EndpointEntry> reachable =
                mExchanges.state().pools().limitsConnections()
                        ? mExchanges.connections().withinLimit(mService, listed)
                        : listed;
        if (reachable.isEmpty() && !listed.isEmpty()) {
            mExchanges.requestLogger().withoutConnection(mAdmission, mService, listed.size());
            mListener.notConnected(RefusalFactory.NO_CONNECTION);
        } else {
            choose(reachable);
        }
    }

    private void choose(final List<EndpointEntry> untried) {
        final ServingState state = mExchanges.state();
        final List<EndpointEntry> withoutLimit = state.selection().withoutLimit(untried);
        final Duration maxWait = withoutLimit.isEmpty() ? maxPermitWait() : Duration.ZERO;
        final List<EndpointEntry> usable =
                mDenials < MAX_DENIALS
                        ? state.selection()
                                .withinLimits(untried, mAdmission.request().id(), maxWait)
                        : withoutLimit;
        if (usable.isEmpty() && !untried.isEmpty()) {
            mListener.atRequestLimit(untried);
            return;
        }
        final Optional<Placement> placement =
                state.chooser()
                        .place(
                                usable,
                                mAdmission.request().work(),
                                mTriedEndpoints,
                                state.canCopyPrompts(mService),
                                now());
        if (placement.isPresent()) {
            awaitPermit(placement.get(), maxWait);
        } else {
            waitForRoom();
        }
    }

    /**
     * Connects a run that was moved to its endpoint, and searches for another one if that fails.
     *
     * @param placement the endpoint that holds the run's memory
     * @param isOnlyOne whether the run can't begin anew elsewhere, so that it is sent there also if
     *     the endpoint leaves
     */
    void connectTo(final Placement placement, final boolean isOnlyOne) {
        mOnlyPlacement = isOnlyOne ? placement : null;
        awaitPermit(placement, MAX_MOVED_WAIT);
    }

    /** Waits until the endpoint may get the request by its limit, and connects to it then. */
    private void awaitPermit(final Placement placement, final Duration maxWait) {
        mUnconfirmed = Optional.of(placement);
        mGate.enter(
                placement.endpoint().id(),
                maxWait,
                () -> {
                    mUnconfirmed = Optional.empty();
                    connect(placement);
                },
                () -> {
                    mUnconfirmed = Optional.empty();
                    placement.release();
                    mDenials++;
                    start();
                });
    }

    /** Returns how long the request may wait for a permit: urgent ones get the next permits. */
    private Duration maxPermitWait() {
        final Duration left = Duration.between(now(), mAdmission.deadline());
        final Duration part = left.dividedBy(PERMIT_WAIT_DIVISOR);
        final Duration longest = MAX_PERMIT_WAIT.dividedBy(1 + mAdmission.priority());
        if (part.isNegative()) {
            return Duration.ZERO;
        }
        return part.compareTo(longest) < 0 ? part : longest;
    }

    private void connect(final Placement placement) {
        mPlacement = placement;
        mTriedEndpoints.add(placement.endpoint().id());
        mListener.placed(placement);
        mConnectStartedAt = now();
        mSearchId++;
        final int searchId = mSearchId;
        mExchanges
                .connections()
                .acquire(
                        placement.endpoint(),
                        connection -> connected(connection, searchId),
                        failure -> connectFailed(failure, searchId));
    }

    /** Cancels the search; the listener is not called any more until the next one. */
    void cancel() {
        mSearchId++;
        mPass.leave();
        mGate.leave();
        mUnconfirmed.ifPresent(Placement::release);
        mUnconfirmed = Optional.empty();
    }

    /** Ends the search for good, as its request has ended. */
    void end(final boolean answered) {
        cancel();
        mPass.end(answered);
    }

    /** Returns whether some of the endpoints were not tried. */
    boolean hasUntried(final Collection<EndpointEntry> endpoints) {
        return endpoints.stream().anyMatch(endpoint -> !mTriedEndpoints.contains(endpoint.id()));
    }

    private Instant now() {
        return mExchanges.state().clock().instant();
    }

    private List<EndpointEntry> untried(final List<EndpointEntry> endpoints) {
        return endpoints.stream()
                .filter(endpoint -> !mTriedEndpoints.contains(endpoint.id()))
                .toList();
    }

    private List<EndpointEntry> candidates() {
        final List<EndpointEntry> candidates = mStream.candidates(!mTriedEndpoints.isEmpty());
        if (!mConditions.isSuspect().getAsBoolean()) {
            return candidates;
        }
        final ServingState state = mExchanges.state();
        return state.selection()
                .leastBusy(
                        untried(candidates).stream()
                                .filter(
                                        endpoint ->
                                                !state.suspects().isGuarded(endpoint.id(), now()))
                                .toList());
    }

    /**
     * Waits for room at brittle endpoints, or ends the search. Their slots are free again within
     * milliseconds; a queue at the endpoints is what they must not get.
     */
    private void waitForRoom() {
        final boolean withoutRoom = mStream.isWithoutRoom();
        if (!withoutRoom || mRoomWaits >= MAX_ROOM_WAITS) {
            mListener.notConnected(
                    withoutRoom ? "no room at brittle endpoints" : "no endpoint left");
            return;
        }
        mRoomWaits++;
        mSearchId++;
        final int searchId = mSearchId;
        mExchanges
                .loop()
                .schedule(
                        () -> {
                            if (searchId == mSearchId) {
                                start();
                            }
                        },
                        ROOM_WAIT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void connected(final EndpointConnection connection, final int searchId) {
        if (searchId != mSearchId) {
            connection.release();
        } else if (mGate.isLate() || !mayReceive()) {
            connection.release();
            mPlacement.release();
            mTriedEndpoints.remove(mPlacement.endpoint().id());
            start();
        } else if (!mConditions.mayBeSent().getAsBoolean()) {
            connection.release();
            mPlacement.release();
            mGate.leave();
            mListener.processEndsBefore();
        } else {
            mGate.attemptSent();
            mListener.connected(connection);
        }
    }

    /** Returns whether the endpoint may still get the request, after the waits since its choice. */
    private boolean mayReceive() {
        return mPlacement == mOnlyPlacement
                || mExchanges.state().selection().mayReceive(mPlacement.endpoint());
    }

    private void connectFailed(final ConnectFailure failure, final int searchId) {
        if (searchId != mSearchId) {
            return;
        }
        if (failure == ConnectFailure.LIMIT) {
            mPlacement.release();
            mGate.leave();
            mTriedEndpoints.remove(mPlacement.endpoint().id());
            start();
            return;
        }
        if (failure == ConnectFailure.ENDPOINT) {
            mPlacement.load().recordUnreachable(now());
        }
        mPlacement.release();
        mGate.leave();
        mConnectFailures++;
        if (failure == ConnectFailure.PATH
                || mConnectFailures >= MAX_CONNECT_FAILURES
                || isFurtherConnectUseless()) {
            mListener.notConnected("endpoints not reachable");
        } else {
            start();
        }
    }

    /**
     * Returns whether the connect just given up took long, and those to all other endpoints have
     * failed lately: the caller can come back sooner than they would be found out one by one.
     */
    private boolean isFurtherConnectUseless() {
        final Duration taken = Duration.between(mConnectStartedAt, now());
        return taken.compareTo(SLOW_CONNECT) >= 0
                && !mExchanges.state().chooser().hasAvailable(candidates(), mTriedEndpoints, now());
    }
}
