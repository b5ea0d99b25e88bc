package org.whinhead.serving.ratelimit;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.zip.CRC32;

/**
 * The daemons that own the limits of endpoints: each daemon computes the owner by rendezvous
 * hashing of those that it takes for up.
 *
 * <p>Daemons that are cut from each other have different owners. Each side then uses the share of a
 * limit that its daemons are of all, so that the sides together keep to it.
 */
final class LimitOwners {

    private static final int ENDPOINT_SHIFT = 32;
    private static final long FIRST_MIX = 0xBF58476D1CE4E5B9L;
    private static final long SECOND_MIX = 0x94D049BB133111EBL;
    private static final int FIRST_MIX_SHIFT = 30;
    private static final int SECOND_MIX_SHIFT = 27;
    private static final int THIRD_MIX_SHIFT = 31;

    private final InetSocketAddress mSelf;
    private final Map<InetSocketAddress, Instant> mUnreachableUntil = new HashMap<>();
    private final Map<InetSocketAddress, Instant> mRespondedAt = new HashMap<>();
    private List<Candidate> mDaemons;
    private Set<InetSocketAddress> mAddresses;
    private int mExpected = 1;

    LimitOwners(final InetSocketAddress self) {
        mSelf = Objects.requireNonNull(self, "self");
        setDaemons(Set.of(self), 1);
    }

    /**
     * Sets the daemons that may own limits.
     *
     * @param addresses the addresses of those that are up and not about to stop
     * @param expected the number of all daemons, those that are cut off included
     * @return whether the daemons have changed
     */
    boolean setDaemons(final Set<InetSocketAddress> addresses, final int expected) {
        mExpected = expected;
        if (addresses.equals(mAddresses)) {
            return false;
        }
        mAddresses = Set.copyOf(addresses);
        mRespondedAt.keySet().retainAll(addresses);
        final List<Candidate> candidates = new ArrayList<>();
        addresses.forEach(address -> candidates.add(new Candidate(address, hash(address))));
        mDaemons = candidates;
        return true;
    }

    /** Lets other daemons own the limits of one that doesn't respond. */
    void recordUnreachable(final InetSocketAddress daemon, final Instant until) {
        mUnreachableUntil.put(daemon, until);
    }

    /** Records that a daemon has responded. */
    void recordResponse(final InetSocketAddress daemon, final Instant now) {
        mUnreachableUntil.remove(daemon);
        mRespondedAt.put(daemon, now);
    }

    boolean hasRespondedSince(final InetSocketAddress daemon, final Instant since) {
        return mRespondedAt.getOrDefault(daemon, Instant.MIN).isAfter(since);
    }

    /** Returns the owner of an endpoint's limit. */
    InetSocketAddress owner(final String endpoint, final Instant now) {
        mUnreachableUntil.values().removeIf(until -> !now.isBefore(until));
        final long endpointHash = hash(endpoint) << ENDPOINT_SHIFT;
        InetSocketAddress owner = mSelf;
        long highest = Long.MIN_VALUE;
        for (final Candidate candidate : mDaemons) {
            final long weight = mix(endpointHash | candidate.hash());
            if (weight >= highest && !mUnreachableUntil.containsKey(candidate.address())) {
                highest = weight;
                owner = candidate.address();
            }
        }
        return owner;
    }

    boolean isOwner(final String endpoint, final Instant now) {
        return owner(endpoint, now).equals(mSelf);
    }

    /** Returns the share of a limit that the daemons in touch with this one may use. */
    double share() {
        final double up = mDaemons.size() - mUnreachableUntil.size();
        return Math.min(Math.max(up, 1) / Math.max(mExpected, 1), 1);
    }

    private static long hash(final InetSocketAddress address) {
        return hash(address.getHostString() + ':' + address.getPort());
    }

    private static long hash(final String text) {
        final CRC32 checksum = new CRC32();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue();
    }

    /** Spreads the bits of two checksums, as checksums of similar texts have a similar order. */
    private static long mix(final long hashes) {
        long mixed = (hashes ^ (hashes >>> FIRST_MIX_SHIFT)) * FIRST_MIX;
        mixed = (mixed ^ (mixed >>> SECOND_MIX_SHIFT)) * SECOND_MIX;
        return mixed ^ (mixed >>> THIRD_MIX_SHIFT);
    }

    private record Candidate(InetSocketAddress address, long hash) {}
}
