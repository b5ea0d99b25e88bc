package org.whinhead.serving.endpoint;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * An endpoint as it describes itself in the store.
 *
 * @param id the endpoint's id, which may stay the same after a restart
 * @param service the service that it belongs to
 * @param version the version of the service's software; empty if unknown
 * @param address the address that it listens on
 * @param domain its failure domain
 * @param slots the number of requests that it processes at once, at least 1
 * @param leaving whether it has announced to leave
 * @param reclaimable whether it may be reclaimed on short notice
 * @param leavesIn the time left of an announced reclaim, counted from the announcement
 * @param coldFor the time for which it is still slow after its start
 * @param startedAt the time of its start, if known; another start has lost the earlier state
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

    /** A large odd number, so that entries with few differences have hashes with many. */
    private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

    /** Checks the components. */
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
     * Creates a builder of an entry.
     *
     * @param id the endpoint's id
     * @param service the service that it belongs to
     * @param address the address it listens on
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
     * Returns the entry that the endpoint writes when it leaves, if nothing else has changed.
     *
     * @param time the time for which it still serves, if known
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

    /** Returns whether two entries differ at most in what changes with the time of the write. */
    boolean hasSameContent(final EndpointEntry other) {
        return id.equals(other.id)
                && service.equals(other.service)
                && version.equals(other.version)
                && address.equals(other.address)
                && domain.equals(other.domain)
                && slots == other.slots
                && leaving == other.leaving
                && reclaimable == other.reclaimable
                && startedAt.equals(other.startedAt);
    }

    /** Returns a hash of what {@link #hasSameContent} compares, the same in every daemon. */
    long contentHash() {
        long hash = id.hashCode();
        hash = HASH_FACTOR * hash + service.hashCode();
        hash = HASH_FACTOR * hash + version.hashCode();
        hash = HASH_FACTOR * hash + address.hashCode();
        hash = HASH_FACTOR * hash + domain.hashCode();
        hash = HASH_FACTOR * hash + slots;
        hash = HASH_FACTOR * hash + (leaving ? 2 : 0) + (reclaimable ? 1 : 0);
        return HASH_FACTOR * hash + startedAt.hashCode();
    }

    /** Returns whether this entry is of an earlier start of the endpoint than another one. */
    boolean startedBefore(final EndpointEntry other) {
        return startedAt.isPresent()
                && other.startedAt.isPresent()
                && startedAt.get().isBefore(other.startedAt.get());
    }

    /** Builds an entry. */
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
         * Sets the software version.
         *
         * @param version the version of the service's software
         * @return this builder
         */
        public Builder version(final String version) {
            mVersion = version;
            return this;
        }

        /**
         * Sets the number of slots.
         *
         * @param slots the number of requests that the endpoint processes at once, at least 1
         * @return this builder
         */
        public Builder slots(final int slots) {
            mSlots = slots;
            return this;
        }

        /**
         * Sets whether the endpoint is leaving.
         *
         * @param leaving whether it has announced to leave
         * @param leavesIn the time for which it still serves, if known
         * @return this builder
         */
        public Builder leaving(final boolean leaving, final Optional<Duration> leavesIn) {
            mLeaving = leaving;
            mLeavesIn = leavesIn;
            return this;
        }

        /**
         * Sets whether the endpoint is reclaimable.
         *
         * @param reclaimable whether it may be reclaimed on short notice
         * @return this builder
         */
        public Builder reclaimable(final boolean reclaimable) {
            mReclaimable = reclaimable;
            return this;
        }

        /**
         * Sets the start of the endpoint.
         *
         * @param startedAt the time of its start, if known
         * @param coldFor the time for which it is still slow
         * @return this builder
         */
        public Builder started(final Optional<Instant> startedAt, final Duration coldFor) {
            mStartedAt = startedAt;
            mColdFor = coldFor;
            return this;
        }

        /**
         * Returns the entry.
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
