package org.whinhead.gateway.peers;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.StoreDigest;
import org.whinhead.gateway.store.ReadSharing;
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
public final class StoreDigests implements ReadSharing {

    /** Daemons that read for all: one may be cut off from the store without being noticed. */
    private static final int READERS = 2;

    /** Two digests are missed; a leaving endpoint must be noticed within two seconds. */
    private static final Duration FRESH_FOR = Duration.ofMillis(900);

    /** A read of the configuration waits a second at the store. */
    private static final Duration CONFIGURATION_FRESH_FOR = Duration.ofMillis(2_500);

    private final ServingState mState;
    private final MemberTable mMembers;
    private final Map<String, Seen> mSeen = new HashMap<>();
    private Consumer<StoreTopic> mWake = topic -> {};
    private LongConsumer mSkip = end -> {};
    private long mEndpointsEnd;
    private Instant mConfigurationReadAt = Instant.EPOCH;

    /**
     * Makes digests of nothing.
     *
     * @param state what this daemon has seen
     * @param members the daemons
     */
    public StoreDigests(final ServingState state, final MemberTable members) {
        mState = state;
        mMembers = members;
    }

    /**
     * Sets what is done when another daemon has seen something new.
     *
     * @param wake takes the topic to be read
     */
    public void onNews(final Consumer<StoreTopic> wake) {
        mWake = wake;
    }

    /**
     * Sets what is done when another daemon has read on and found what this one knows.
     *
     * @param skip takes the offset behind what it has read of the endpoints
     */
    public void onSameEndpoints(final LongConsumer skip) {
        mSkip = skip;
    }

    /**
     * Notes how far the endpoints were read.
     *
     * @param end the offset behind the last record
     */
    public void endpointsRead(final long end) {
        mEndpointsEnd = Math.max(mEndpointsEnd, end);
    }

    /** Notes that the configuration was read. */
    public void configurationRead() {
        mConfigurationReadAt = now();
    }

    @Override
    public boolean isReader() {
        return mMembers.rank(now()) < READERS;
    }

    @Override
    public boolean isCovered(final StoreTopic topic) {
        if (isReader()) {
            return false;
        }
        final Instant oldest = now().minus(FRESH_FOR);
        return mSeen.values().stream()
                .anyMatch(seen -> seen.mAt.isAfter(oldest) && matches(seen.mDigest, topic));
    }

    private boolean matches(final StoreDigest digest, final StoreTopic topic) {
        return switch (topic) {
            case ENDPOINTS -> digest.getEndpointsEnd() < mEndpointsEnd || sameEndpoints(digest);
            case CONFIGURATION ->
                    digest.getConfigurationFresh()
                            && digest.getConfigurationVersion() <= version()
                            && digest.getRolloutOffset() <= mState.rollouts().newestOrderOffset();
            default -> false;
        };
    }

    private boolean sameEndpoints(final StoreDigest digest) {
        return digest.getEndpointsHash() == mState.endpoints().digest();
    }

    private long version() {
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
    StoreDigest digest() {
        return StoreDigest.newBuilder()
                .setEndpointsHash(mState.endpoints().digest())
                .setEndpointsEnd(mEndpointsEnd)
                .setConfigurationVersion(version())
                .setRolloutOffset(mState.rollouts().newestOrderOffset())
                .setConfigurationFresh(
                        mConfigurationReadAt.isAfter(now().minus(CONFIGURATION_FRESH_FOR)))
                .build();
    }

    /**
     * Takes a digest of another daemon.
     *
     * @param sender the address that it came from
     * @param digest the digest
     */
    void take(final String sender, final StoreDigest digest) {
        mSeen.put(sender, new Seen(digest, now()));
        if (!matches(digest, StoreTopic.ENDPOINTS)) {
            mWake.accept(StoreTopic.ENDPOINTS);
        } else if (digest.getEndpointsEnd() > mEndpointsEnd) {
            mEndpointsEnd = digest.getEndpointsEnd();
            mSkip.accept(mEndpointsEnd);
        }
        if (digest.getConfigurationVersion() > version()
                || digest.getRolloutOffset() > mState.rollouts().newestOrderOffset()) {
            mWake.accept(StoreTopic.CONFIGURATION);
        }
    }

    private static final class Seen {
        private final StoreDigest mDigest;
        private final Instant mAt;

        private Seen(final StoreDigest digest, final Instant at) {
            mDigest = digest;
            mAt = at;
        }
    }
}
