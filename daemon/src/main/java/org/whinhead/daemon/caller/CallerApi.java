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
import org.whinhead.daemon.request.TicketDirectory;
import org.whinhead.daemon.view.DeploymentView;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.requests.TicketCodec;

/** Entry point to the {@link Builder} of the callers' HTTP interface. */
public final class CallerApi {

    private CallerApi() {}

    /**
     * Returns a new builder.
     *
     * @param daemon the daemon, whose id prefixes generated request names
     * @return the builder
     */
    public static Builder builder(final DaemonId daemon) {
        return new Builder(daemon);
    }

    /** Builds the HTTP handler of callers' requests. */
    public static final class Builder {
        private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);
        private static final Duration ADDRESS_CACHE_TIME = Duration.ofSeconds(5);
        private static final int MAX_WAITING_BYTES = 256 * 1024;

        private final DaemonId mDaemon;
        private Supplier<DeploymentView> mView = () -> DeploymentView.EMPTY;
        private Supplier<List<EntryAddress>> mAddresses = List::of;
        private LiveRequests mRequests;
        private DecisionLoop mLoop;
        private BurnCollector mBurnCollector;
        private TicketCodec mTickets;
        private TicketDirectory mTicketDirectory;
        private BooleanSupplier mStopping = () -> false;
        private InstantSource mClock = InstantSource.system();
        private long mMaxBodyBytes;
        private int mMaxInProgress;
        private int mMaxWaitingBytes = MAX_WAITING_BYTES;
        private Duration mBodyTimeout = BODY_TIMEOUT;

        private Builder(final DaemonId daemon) {
            mDaemon = daemon;
        }

        /** Sets the supplier of the deployment view that requests are checked against. */
        public Builder view(final Supplier<DeploymentView> view) {
            mView = view;
            return this;
        }

        /** Sets the supplier of the addresses that callers may use. */
        public Builder addresses(final Supplier<List<EntryAddress>> addresses) {
            mAddresses = addresses;
            return this;
        }

        /** Sets the registry of requests in progress and their decision loop; required. */
        public Builder decisions(final LiveRequests requests, final DecisionLoop loop) {
            mRequests = requests;
            mLoop = loop;
            return this;
        }

        /** Sets the collector of samples of ended requests; required. */
        public Builder burn(final BurnCollector burnCollector) {
            mBurnCollector = burnCollector;
            return this;
        }

        /** Sets the codec that reads tickets and the directory of tickets; required. */
        public Builder tickets(final TicketCodec tickets, final TicketDirectory directory) {
            mTickets = tickets;
            mTicketDirectory = directory;
            return this;
        }

        /** Sets the supplier that returns whether the daemon is stopping. */
        public Builder stopping(final BooleanSupplier stopping) {
            mStopping = stopping;
            return this;
        }

        /** Sets the clock. */
        public Builder clock(final InstantSource clock) {
            mClock = clock;
            return this;
        }

        /** Sets the maximum body size in bytes and number of requests in progress; required. */
        public Builder limits(final long maxBodyBytes, final int maxInProgress) {
            mMaxBodyBytes = maxBodyBytes;
            mMaxInProgress = maxInProgress;
            return this;
        }

        /** Sets the maximum bytes of an answer that wait for a slow caller; 256 KiB by default. */
        public Builder maxWaitingBytes(final int maxWaitingBytes) {
            mMaxWaitingBytes = maxWaitingBytes;
            return this;
        }

        /** Sets the timeout for receiving a body; ten seconds by default. */
        public Builder bodyTimeout(final Duration bodyTimeout) {
            mBodyTimeout = bodyTimeout;
            return this;
        }

        /** Builds the handler. */
        public CallerHandler build() {
            final RequestSubmitter submitter =
                    new RequestSubmitter(
                            mRequests,
                            mLoop,
                            mBurnCollector,
                            mStopping,
                            mMaxInProgress,
                            mMaxWaitingBytes);
            final BodyReceiver bodyReceiver = new BodyReceiver(mMaxBodyBytes, mBodyTimeout);
            final RequestNames names = new RequestNames(mDaemon);
            return new CallerHandler(
                    mView,
                    names,
                    mBurnCollector,
                    new ChatHandler(
                            mView,
                            submitter,
                            bodyReceiver,
                            names,
                            mTickets,
                            mTicketDirectory,
                            mClock),
                    new ServiceHandler(mView, submitter, bodyReceiver, names, mClock),
                    new ListingHandler(mView, mAddresses, ADDRESS_CACHE_TIME));
        }
    }
}
