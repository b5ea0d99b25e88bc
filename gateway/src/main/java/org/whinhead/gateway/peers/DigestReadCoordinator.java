package org.whinhead.gateway.peers;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.StoreDigest;
import org.whinhead.gateway.store.ReadCoordinator;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.endpoint.EndpointRegistry;
import org.whinhead.serving.member.MemberTable;

/**
 * Lets a few daemons read the store for all.
 *
 * <p>Each call to the store is billed and counts against a limit that all daemons share. The two
 * daemons with the first names in order read at a fixed interval, and send the changes and a digest
 * of their view after each read. The others read only if some digest that is not older than their
 * own view differs from it, or if none arrives for a while.
 */
public final class DigestReadCoordinator implements ReadCoordinator {

    /** Number of daemons that read for all: one may be cut off from the store unnoticed. */
    private static final int READER_COUNT = 2;

    /** Covers two lost digests; a leaving endpoint must be noticed within two seconds. */
    private static final Duration DIGEST_MAX_AGE = Duration.ofMillis(900);

    /** A configuration read waits up to one second at the store; more is a lost answer. */
    private static final Duration CONFIGURATION_READ_MAX_AGE = Duration.ofMillis(1_200);

    /**
     * The age up to which a read of another daemon is relied on. With the interval of the checks
     * and an own read that is sent twice, a change is in force within two seconds.
     */
    private static final Duration MAX_RELIED_READ_AGE = Duration.ofMillis(1_250);

    /** Covers three lost digests in a row; after more, a difference counts as a new one. */
    private static final Duration MAX_DIGEST_GAP = Duration.ofMillis(1_900);

    private final ServingState mState;
    private final MemberTable mMembers;
    private final Map<String, ReceivedDigest> mReceivedDigests = new HashMap<>();
    private Consumer<StoreTopic> mOnNewRecords = topic -> {};
    private LongConsumer mOnSkippableEndpoints = end -> {};
    private Runnable mOnListing = () -> {};
    private LongConsumer mOnPosition = position -> {};
    private final ListingSchedule mListings = new ListingSchedule();
    private long mEndpointsEnd;
    private Instant mConfigurationReadAt = Instant.EPOCH;

    /**
     * Creates a coordinator that has received no digest.
     *
     * @param state this daemon's view
     * @param members the known daemons
     */
    public DigestReadCoordinator(final ServingState state, final MemberTable members) {
        mState = state;
        mMembers = members;
    }

    /**
     * Sets the handler of records that only another daemon has read.
     *
     * @param onNewRecords receives the topic to read
     */
    public void onNewRecords(final Consumer<StoreTopic> onNewRecords) {
        mOnNewRecords = onNewRecords;
    }

    /**
     * Sets the handler of endpoint records of other daemons that change nothing here.
     *
     * @param onSkippableEndpoints receives the offset behind the last such record
     */
    public void onSkippableEndpoints(final LongConsumer onSkippableEndpoints) {
        mOnSkippableEndpoints = onSkippableEndpoints;
    }

    /**
     * Sets the handler of differences that the records after this daemon's position don't resolve.
     *
     * @param onListing runs when all endpoints are to be listed
     */
    public void onListing(final Runnable onListing) {
        mOnListing = onListing;
    }

    /**
     * Sets the handler of positions in the store that this daemon or another one has read.
     *
     * @param onPosition receives each position; the newest one isn't always the last
     */
    public void onPosition(final LongConsumer onPosition) {
        mOnPosition = onPosition;
    }

    /**
     * Records how far this daemon has read the endpoints.
     *
     * @param end the offset behind the last record
     */
    public void recordEndpointsRead(final long end) {
        mEndpointsEnd = Math.max(mEndpointsEnd, end);
        mOnPosition.accept(end);
        mReceivedDigests.values().stream()
                .filter(received -> received.mDigest.getEndpointsEnd() <= mEndpointsEnd)
                .forEach(received -> received.recordReadPast(mState.endpoints()));
    }

    /** Records that this daemon has read the configuration now. */
    public void recordConfigurationRead() {
        mConfigurationReadAt = now();
    }

    @Override
    public boolean isReader() {
        return mMembers.rank(now()) < READER_COUNT;
    }

    @Override
    public boolean isCovered(final StoreTopic topic) {
        if (isReader()) {
            return false;
        }
        final Instant notBefore = now().minus(DIGEST_MAX_AGE);
        final List<ReceivedDigest> digests =
                mReceivedDigests.values().stream()
                        .filter(received -> received.mReceivedAt.isAfter(notBefore))
                        .toList();
        // A reader that is behind has nothing new either, so one digest with news decides.
        return digests.stream().noneMatch(digest -> hasNews(digest, topic))
                && digests.stream().anyMatch(digest -> isRecent(digest, topic));
    }

    private boolean hasNews(final ReceivedDigest received, final StoreTopic topic) {
        final StoreDigest digest = received.mDigest;
        return switch (topic) {
            case ENDPOINTS ->
                    digest.getEndpointsEnd() >= mEndpointsEnd
                            && !hasSameEndpoints(digest)
                            && !isUnresolvable(received);
            case CONFIGURATION ->
                    mState.configurationProgress().isBehind()
                            || digest.getConfigurationVersion() > configurationVersion()
                            || digest.getRolloutOffset() > mState.rollouts().newestOrderOffset();
            default -> false;
        };
    }

    /** Returns whether the sender of a digest has read a topic a short while ago. */
    private boolean isRecent(final ReceivedDigest received, final StoreTopic topic) {
        return switch (topic) {
            case ENDPOINTS -> true;
            case CONFIGURATION -> isConfigurationReadRecent(received);
            default -> false;
        };
    }

    private boolean isConfigurationReadRecent(final ReceivedDigest received) {
        final StoreDigest digest = received.mDigest;
        if (!digest.hasConfigurationReadAgeMillis()) {
            return digest.getConfigurationFresh();
        }
        final Duration age =
                Duration.between(received.mReceivedAt, now())
                        .plusMillis(digest.getConfigurationReadAgeMillis());
        return age.compareTo(MAX_RELIED_READ_AGE) <= 0;
    }

    /** Returns whether the listed entries are the same, as far as the sender's version tells. */
    private boolean hasSameEndpoints(final StoreDigest digest) {
        return hasSameSet(digest)
                && (!digest.hasEndpointsContentHash()
                        || digest.getEndpointsContentHash() == mState.endpoints().contentDigest());
    }

    private boolean hasSameSet(final StoreDigest digest) {
        return digest.getEndpointsHash() == mState.endpoints().digest();
    }

    /**
     * Returns whether reading would not resolve the difference: it did not before, neither view has
     * changed since, and no record was added since that may have changed this daemon's view only.
     */
    private boolean isUnresolvable(final ReceivedDigest received) {
        return received.mDigest.getEndpointsChangedEnd() <= mEndpointsEnd
                && received.isUnresolved(mState.endpoints());
    }

    private long configurationVersion() {
        return mState.configuration().current().map(ServingConfiguration::version).orElse(-1L);
    }

    private Instant now() {
        return mState.clock().instant();
    }

    /**
     * Creates a digest of what this daemon has read.
     *
     * @return the digest
     */
    StoreDigest createDigest() {
        final StoreDigest.Builder digest =
                StoreDigest.newBuilder()
                        .setEndpointsHash(mState.endpoints().digest())
                        .setEndpointsContentHash(mState.endpoints().contentDigest())
                        .setEndpointsEnd(mEndpointsEnd)
                        .setEndpointsChangedEnd(mState.endpoints().changedEnd())
                        .setConfigurationVersion(configurationVersion())
                        .setRolloutOffset(mState.rollouts().newestOrderOffset())
                        .setConfigurationFresh(
                                mConfigurationReadAt.isAfter(
                                        now().minus(CONFIGURATION_READ_MAX_AGE)));
        if (mConfigurationReadAt.isAfter(Instant.EPOCH)) {
            digest.setConfigurationReadAgeMillis(
                    Duration.between(mConfigurationReadAt, now()).toMillis());
        }
        return digest.build();
    }

    /**
     * Handles a digest of another daemon.
     *
     * @param sender the address of that daemon
     * @param digest the digest
     */
    void receive(final String sender, final StoreDigest digest) {
        final ReceivedDigest received =
                new ReceivedDigest(digest, now(), mReceivedDigests.get(sender));
        mReceivedDigests.put(sender, received);
        mOnPosition.accept(digest.getEndpointsEnd());
        mState.configurationProgress().recordAnnounced(digest.getConfigurationVersion(), now());
        if (hasSameSet(digest)) {
            mState.versions().recordConfirmed(mState.moment());
        }
        if (hasSameEndpoints(digest)) {
            received.mSameAt = now();
            mListings.recordSame();
        } else if (!isReader() && mListings.isDue(received.mSameAt, now())) {
            mOnListing.run();
        }
        if (hasNews(received, StoreTopic.ENDPOINTS)) {
            mOnNewRecords.accept(StoreTopic.ENDPOINTS);
        } else if (digest.getEndpointsEnd() > mEndpointsEnd) {
            skipEndpoints(digest);
        }
        if (hasNews(received, StoreTopic.CONFIGURATION)) {
            mOnNewRecords.accept(StoreTopic.CONFIGURATION);
        }
    }

    private void skipEndpoints(final StoreDigest digest) {
        mEndpointsEnd = digest.getEndpointsEnd();
        if (digest.hasEndpointsContentHash() && hasSameEndpoints(digest)) {
            // The answer to a read that is in progress may end before the skipped records.
            mState.endpoints().recordExact(mEndpointsEnd);
        }
        mOnSkippableEndpoints.accept(mEndpointsEnd);
    }

    /** A difference of two views at one position of the topic. */
    private record Difference(long received, long own) {}

    private static final class ReceivedDigest {
        private final StoreDigest mDigest;
        private final Instant mReceivedAt;
        private Optional<Difference> mUnresolved;
        private Instant mSameAt;
        private boolean mReadPast;

        private ReceivedDigest(
                final StoreDigest digest, final Instant receivedAt, final ReceivedDigest previous) {
            mDigest = digest;
            mReceivedAt = receivedAt;
            mUnresolved = previous == null ? Optional.empty() : previous.mUnresolved;
            mSameAt = follows(previous) ? previous.mSameAt : receivedAt;
        }

        private boolean follows(final ReceivedDigest previous) {
            return previous != null
                    && mReceivedAt.isBefore(previous.mReceivedAt.plus(MAX_DIGEST_GAP));
        }

        /**
         * Records that this daemon has read all that the sender had. If their views still differ,
         * for example by entries in doubt after an outage, reading again wouldn't help. Views are
         * compared only if this daemon's own has not changed by records that the sender had not
         * read: otherwise the difference may be these, and end unseen by the removal of what they
         * added.
         */
        private void recordReadPast(final EndpointRegistry own) {
            if (!mReadPast && own.changedEnd() <= mDigest.getEndpointsEnd()) {
                mUnresolved = Optional.of(difference(own));
            }
            mReadPast = true;
        }

        private boolean isUnresolved(final EndpointRegistry own) {
            return mUnresolved.equals(Optional.of(difference(own)));
        }

        private Difference difference(final EndpointRegistry own) {
            return mDigest.hasEndpointsContentHash()
                    ? new Difference(mDigest.getEndpointsContentHash(), own.contentDigest())
                    : new Difference(mDigest.getEndpointsHash(), own.digest());
        }
    }
}
