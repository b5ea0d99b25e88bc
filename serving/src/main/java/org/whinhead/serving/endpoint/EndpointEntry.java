package org.whinhead.serving.endpoint;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * One endpoint as it describes itself in the store.
 *
 * @param id its id, which it may keep over a restart
 * @param service the service that it belongs to
 * @param version the version of the service's software; empty if it doesn't say
 * @param address where it listens
 * @param domain its failure domain
 * @param slots how many requests it works on at once
 * @param leaving whether it has announced to leave
 * @param reclaimable whether it may be taken back on short notice
 * @param leavesIn the time left of an announced reclaim, counted from the announcement
 * @param coldFor how much longer it is slow after its start
 * @param startedAt when it started, if it says so; another start knows nothing of the one before
 */
public record EndpointEntry(
        String id,
        String service,
        String version,
        InetSocketAddress address,
        String domain,
        int slots,
        boolean leaving,
        boolean reclaimable,
        Optional<Duration> leavesIn,
        Duration coldFor,
        Optional<Instant> startedAt) {

    /** Checks the parts. */
    public EndpointEntry {
        Arguments.requireText(id, "id");
        Arguments.requireText(service, "service");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(domain, "domain");
        Arguments.requireAtLeast(slots, 1, "slots");
        Objects.requireNonNull(leavesIn, "leavesIn");
        Objects.requireNonNull(coldFor, "coldFor");
        Objects.requireNonNull(startedAt, "startedAt");
    }

    /**
     * Starts an entry.
     *
     * @param id the endpoint's id
     * @param service the service that it belongs to
     * @param address where it listens
     * @param domain its failure domain
     * @return a builder of an on-demand endpoint that is ready and has one slot
     */
    public static Builder builder(
            final String id,
            final String service,
            final InetSocketAddress address,
            final String domain) {
        return new Builder(id, service, address, domain);
    }

    /**
     * Makes the entry that the endpoint writes as it leaves, if nothing else has changed.
     *
     * @param time how much longer it serves, if it says so
     * @return the entry
     */
    public EndpointEntry asLeaving(final Optional<Duration> time) {
        return new EndpointEntry(
                id,
                service,
                version,
                address,
                domain,
                slots,
                true,
                reclaimable,
                time,
                coldFor,
                startedAt);
    }

    /** Tells whether this entry is of a later start of the endpoint than another one. */
    boolean startedAfter(final EndpointEntry other) {
        return compareStart(other) > 0;
    }

    /** Tells whether this entry is of an earlier start of the endpoint than another one. */
    boolean startedBefore(final EndpointEntry other) {
        return compareStart(other) < 0;
    }

    private int compareStart(final EndpointEntry other) {
        if (startedAt.isEmpty() || other.startedAt.isEmpty()) {
            return 0;
        }
        return startedAt.get().compareTo(other.startedAt.get());
    }

    /** Collects the parts of an entry. */
    public static final class Builder {
        private final String mId;
        private final String mService;
        private final InetSocketAddress mAddress;
        private final String mDomain;
        private String mVersion = "";
        private int mSlots = 1;
        private boolean mLeaving;
        private boolean mReclaimable;
        private Optional<Duration> mLeavesIn = Optional.empty();
        private Duration mColdFor = Duration.ZERO;
        private Optional<Instant> mStartedAt = Optional.empty();

        private Builder(
                final String id,
                final String service,
                final InetSocketAddress address,
                final String domain) {
            mId = id;
            mService = service;
            mAddress = address;
            mDomain = domain;
        }

        /**
         * Sets what it runs.
         *
         * @param version the version of the service's software
         * @return this builder
         */
        public Builder version(final String version) {
            mVersion = version;
            return this;
        }

        /**
         * Sets how much it works on at once.
         *
         * @param slots requests
         * @return this builder
         */
        public Builder slots(final int slots) {
            mSlots = slots;
            return this;
        }

        /**
         * Sets whether it is going away.
         *
         * @param leaving whether it has announced to leave
         * @param leavesIn how much longer it serves, if it says so
         * @return this builder
         */
        public Builder leaving(final boolean leaving, final Optional<Duration> leavesIn) {
            mLeaving = leaving;
            mLeavesIn = leavesIn;
            return this;
        }

        /**
         * Sets its kind.
         *
         * @param reclaimable whether it may be taken back on short notice
         * @return this builder
         */
        public Builder reclaimable(final boolean reclaimable) {
            mReclaimable = reclaimable;
            return this;
        }

        /**
         * Sets what it says of its start.
         *
         * @param startedAt when it started, if it says so
         * @param coldFor how much longer it is slow
         * @return this builder
         */
        public Builder started(final Optional<Instant> startedAt, final Duration coldFor) {
            mStartedAt = startedAt;
            mColdFor = coldFor;
            return this;
        }

        /**
         * Makes the entry.
         *
         * @return the entry
         */
        public EndpointEntry build() {
            return new EndpointEntry(
                    mId,
                    mService,
                    mVersion,
                    mAddress,
                    mDomain,
                    mSlots,
                    mLeaving,
                    mReclaimable,
                    mLeavesIn,
                    mColdFor,
                    mStartedAt);
        }
    }
}
