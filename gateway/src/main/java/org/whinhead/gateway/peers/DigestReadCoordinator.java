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
 * daemons whose names come first read at a steady pace and pass on what has changed, with a digest
 * of what they see behind each read. The others read only if a digest that is not older than their
 * own view differs from it, or if none has come for a while.
 */
public final class DigestReadCoordinator implements ReadCoordinator {

    /** Daemons that read for all: one may be cut off from the store without being noticed. */
    private static final int READER_COUNT = 2;

    /** Two digests are missed; a leaving endpoint must be noticed within two seconds. */
    private static final Duration DIGEST_MAX_AGE = Duration.ofMillis(900);

    /** A read of the configuration waits a second at the store. */
    private static final Duration CONFIGURATION_READ_MAX_AGE = Duration.ofMillis(2_500);

    private final ServingState mState;
    private final MemberTable mMembers;
    private final Map<String, ReceivedDigest> mReceivedDigests = new HashMap<>();
    private Consumer<StoreTopic> mOnNewRecords = topic -> {};
    private LongConsumer mOnSkippableEndpoints = end -> {};
    private long mEndpointsEnd;
    private Instant mConfigurationReadAt = Instant.EPOCH;

    /**
     * Makes digests of nothing.
     *
     * @param state what this daemon has seen
     * @param members the daemons
     */
    public DigestReadCoordinator(final ServingState state, final MemberTable members) {
        mState = state;
        mMembers = members;
    }

    /**
     * Sets what is done when another daemon has seen something new.
     *
     * @param wake takes the topic to be read
     */
    public void onNewRecords(final Consumer<StoreTopic> wake) {
        mOnNewRecords = wake;
    }

    /**
     * Sets what is done when another daemon has read on and found what this one knows.
     *
     * @param skip takes the offset behind what it has read of the endpoints
     */
    public void onSkippableEndpoints(final LongConsumer skip) {
        mOnSkippableEndpoints = skip;
    }

    /**
     * Notes how far the endpoints were read.
     *
     * @param end the offset behind the last record
     */
    public void recordEndpointsRead(final long end) {
        mEndpointsEnd = Math.max(mEndpointsEnd, end);
    }

    /** Notes that the configuration was read. */
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
        final Instant oldest = now().minus(DIGEST_MAX_AGE);
        return mReceivedDigests.values().stream()
                .anyMatch(
                        seen ->
                                seen.mReceivedAt.isAfter(oldest)
                                        && hasNothingNew(seen.mDigest, topic));
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
     * Sums up what this daemon has read.
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
     * Takes a digest of another daemon.
     *
     * @param sender the address that it came from
     * @param digest the digest
     */
    void receive(final String sender, final StoreDigest digest) {
        mReceivedDigests.put(sender, new ReceivedDigest(digest, now()));
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

        private ReceivedDigest(final StoreDigest digest, final Instant at) {
            mDigest = digest;
            mReceivedAt = at;
        }
    }
}
