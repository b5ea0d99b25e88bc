package org.whinhead.gateway.peers;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.StoreDigest;
import org.whinhead.gateway.store.ReadCoordinator;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.member.MemberTable;

/**
 * Lets a few daemons read the store for all.
 *
 * <p>Each call to the store is billed and counts against a limit that all daemons share. The two
 * daemons with the first names in order read at a fixed interval, and send the changes and a digest
 * of their view after each read. The others read only if a digest that is not older than their own
 * view differs from it, or if none arrives for a while.
 */
public final class DigestReadCoordinator implements ReadCoordinator {

    /** Number of daemons that read for all: one may be cut off from the store unnoticed. */
    private static final int READER_COUNT = 2;

    /** Covers two lost digests; a leaving endpoint must be noticed within two seconds. */
    private static final Duration DIGEST_MAX_AGE = Duration.ofMillis(900);

    /** A configuration read waits up to one second at the store. */
    private static final Duration CONFIGURATION_READ_MAX_AGE = Duration.ofMillis(2_500);

    private final ServingState mState;
    private final MemberTable mMembers;
    private final Map<String, ReceivedDigest> mReceivedDigests = new HashMap<>();
    private Consumer<StoreTopic> mOnNewRecords = topic -> {};
    private LongConsumer mOnSkippableEndpoints = end -> {};
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
     * Records how far this daemon has read the endpoints.
     *
     * @param end the offset behind the last record
     */
    public void recordEndpointsRead(final long end) {
        mEndpointsEnd = Math.max(mEndpointsEnd, end);
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
        return mReceivedDigests.values().stream()
                .anyMatch(
                        received ->
                                received.mReceivedAt.isAfter(notBefore)
                                        && hasNothingNew(received.mDigest, topic));
    }

    private boolean hasNothingNew(final StoreDigest digest, final StoreTopic topic) {
        return switch (topic) {
            case ENDPOINTS -> digest.getEndpointsEnd() < mEndpointsEnd || hasSameEndpoints(digest);
            case CONFIGURATION ->
                    digest.getConfigurationFresh()
                            && digest.getConfigurationVersion() <= configurationVersion()
                            && digest.getRolloutOffset() <= mState.rollouts().newestOrderOffset();
            default -> false;
        };
    }

    private boolean hasSameEndpoints(final StoreDigest digest) {
        return digest.getEndpointsHash() == mState.endpoints().digest();
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
        return StoreDigest.newBuilder()
                .setEndpointsHash(mState.endpoints().digest())
                .setEndpointsEnd(mEndpointsEnd)
                .setConfigurationVersion(configurationVersion())
                .setRolloutOffset(mState.rollouts().newestOrderOffset())
                .setConfigurationFresh(
                        mConfigurationReadAt.isAfter(now().minus(CONFIGURATION_READ_MAX_AGE)))
                .build();
    }

    /**
     * Handles a digest of another daemon.
     *
     * @param sender the address of that daemon
     * @param digest the digest
     */
    void receive(final String sender, final StoreDigest digest) {
        mReceivedDigests.put(sender, new ReceivedDigest(digest, now()));
        mState.configurationProgress().recordAnnounced(digest.getConfigurationVersion(), now());
        if (!hasNothingNew(digest, StoreTopic.ENDPOINTS)) {
            mOnNewRecords.accept(StoreTopic.ENDPOINTS);
        } else if (digest.getEndpointsEnd() > mEndpointsEnd) {
            mEndpointsEnd = digest.getEndpointsEnd();
            mOnSkippableEndpoints.accept(mEndpointsEnd);
        }
        if (digest.getConfigurationVersion() > configurationVersion()
                || digest.getRolloutOffset() > mState.rollouts().newestOrderOffset()) {
            mOnNewRecords.accept(StoreTopic.CONFIGURATION);
        }
    }

    private static final class ReceivedDigest {
        private final StoreDigest mDigest;
        private final Instant mReceivedAt;

        private ReceivedDigest(final StoreDigest digest, final Instant receivedAt) {
            mDigest = digest;
            mReceivedAt = receivedAt;
        }
    }
}
