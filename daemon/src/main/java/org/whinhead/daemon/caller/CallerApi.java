package org.whinhead.daemon.caller;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.whinhead.api.model.DaemonId;
import org.whinhead.daemon.burn.BurnCollector;
import org.whinhead.daemon.decision.DecisionLoop;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.daemon.view.DeploymentView;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.requests.TicketCodec;

/** Puts the callers' interface together; made by its builder. */
public final class CallerApi {

    private CallerApi() {}

    /**
     * Starts a builder.
     *
     * @param daemon the daemon, in whose name requests are named
     * @return the builder
     */
    public static Builder builder(final DaemonId daemon) {
        return new Builder(daemon);
    }

    /** Builds the handler of callers' requests. */
    public static final class Builder {
        private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);
        private static final Duration ADDRESS_CACHE_TIME = Duration.ofSeconds(5);
        private static final int MAX_WAITING_BYTES = 256 * 1024;

        private final DaemonId mDaemon;
        private Supplier<DeploymentView> mView = () -> DeploymentView.EMPTY;
        private Supplier<List<EntryAddress>> mAddresses = List::of;
        private LiveRequests mRequests;
        private DecisionLoop mLoop;
        private BurnCollector mBurn;
        private TicketCodec mTickets;
        private BooleanSupplier mStopping = () -> false;
        private InstantSource mClock = InstantSource.system();
        private long mMaxBodyBytes;
        private int mMaxInProgress;
        private int mMaxWaitingBytes = MAX_WAITING_BYTES;
        private Duration mBodyTimeout = BODY_TIMEOUT;

        private Builder(final DaemonId daemon) {
            mDaemon = daemon;
        }

        /** Sets what requests are checked against. */
        public Builder view(final Supplier<DeploymentView> view) {
            mView = view;
            return this;
        }

        /** Sets where the addresses that callers may use come from. */
        public Builder addresses(final Supplier<List<EntryAddress>> addresses) {
            mAddresses = addresses;
            return this;
        }

        /** Sets the requests in progress and the loop that decides on them; required. */
        public Builder decisions(final LiveRequests requests, final DecisionLoop loop) {
            mRequests = requests;
            mLoop = loop;
            return this;
        }

        /** Sets what counts ended requests; required. */
        public Builder burn(final BurnCollector burn) {
            mBurn = burn;
            return this;
        }

        /** Sets what reads tickets; required. */
        public Builder tickets(final TicketCodec tickets) {
            mTickets = tickets;
            return this;
        }

        /** Sets what tells whether the daemon is stopping. */
        public Builder stopping(final BooleanSupplier stopping) {
            mStopping = stopping;
            return this;
        }

        /** Sets the clock. */
        public Builder clock(final InstantSource clock) {
            mClock = clock;
            return this;
        }

        /** Sets the largest body and the most requests in progress; required. */
        public Builder limits(final long maxBodyBytes, final int maxInProgress) {
            mMaxBodyBytes = maxBodyBytes;
            mMaxInProgress = maxInProgress;
            return this;
        }

        /** Sets how many bytes of an answer may wait for a slow caller; 256 KiB by default. */
        public Builder maxWaitingBytes(final int maxWaitingBytes) {
            mMaxWaitingBytes = maxWaitingBytes;
            return this;
        }

        /** Sets how long a body may take to arrive; ten seconds by default. */
        public Builder bodyTimeout(final Duration bodyTimeout) {
            mBodyTimeout = bodyTimeout;
            return this;
        }

        /** Builds the handler. */
        public CallerHandler build() {
            final RequestSubmitter intake =
                    new RequestSubmitter(
                            mRequests, mLoop, mBurn, mStopping, mMaxInProgress, mMaxWaitingBytes);
            final BodyReceiver bodies = new BodyReceiver(mMaxBodyBytes, mBodyTimeout);
            final RequestNames names = new RequestNames(mDaemon);
            return new CallerHandler(
                    mView,
                    names,
                    mBurn,
                    new ChatHandler(mView, intake, bodies, names, mTickets, mClock),
                    new ServiceHandler(mView, intake, bodies, names, mClock),
                    new ListingHandler(mView, mAddresses, ADDRESS_CACHE_TIME));
        }
    }
}
