package org.whinhead.bench.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Tier;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;

/**
 * Generates requests of multi-turn conversations. Each application has a long prompt prefix, which
 * all its conversations share; each turn adds blocks to its conversation's prompt.
 */
public final class Conversations {

    /** Model of every request. */
    public static final ModelRef MODEL = ModelRef.of("claims", "1");

    private static final int APPLICATIONS = 24;
    private static final int APPLICATION_BLOCKS = 12;
    private static final int TURN_BLOCKS = 5;
    private static final int MAX_TURNS = 8;
    private static final int MAX_OPEN_CONVERSATIONS = 400;
    private static final double CONTINUE_SHARE = 0.7;
    private static final int MIN_OUTPUT_TOKENS = 40;
    private static final int OUTPUT_TOKEN_RANGE = 120;
    private static final Duration TIMEOUT = Duration.ofSeconds(120);
    private static final List<Tier> TIERS =
            List.of(tier("gold", 2, 2), tier("silver", 1, 4), tier("batch", 0, 8));
    private static final int[] CUMULATIVE_TIER_PERCENT = {20, 60, 100};
    private static final int PERCENT = 100;

    private final Random mRandom;
    private final int mBlockTokens;
    private final List<Conversation> mOpen = new ArrayList<>();
    private long mNext;

    /**
     * Creates a generator without open conversations.
     *
     * @param seed seed of the random generator
     * @param blockTokens number of prompt tokens in a block
     */
    public Conversations(final long seed, final int blockTokens) {
        mRandom = new Random(seed);
        mBlockTokens = blockTokens;
    }

    /** Returns the tiers, highest priority first. */
    public static List<Tier> tiers() {
        return TIERS;
    }

    /**
     * Returns the next request, of a new or an open conversation.
     *
     * @param now arrival time of the request
     * @return the request, the length of its answer and its conversation
     */
    public Turn nextTurn(final Instant now) {
        final Conversation conversation = pickConversation();
        conversation.grow(TURN_BLOCKS, mRandom);
        final List<Long> prefixes = List.copyOf(conversation.mPrefixes);
        final int output = MIN_OUTPUT_TOKENS + mRandom.nextInt(OUTPUT_TOKEN_RANGE);
        final Tier tier = conversation.mTier;
        final RequestSpec spec =
                RequestSpec.builder(new RequestId("r" + mNext++))
                        .customer(new CustomerId("app" + conversation.mApplication))
                        .tier(tier)
                        .model(MODEL)
                        .streamed(true)
                        .prefixHashes(prefixes)
                        .promptTokens(prefixes.size() * mBlockTokens)
                        .maxTokens(output)
                        .arrived(now)
                        .deadline(now.plus(tier.requestTimeout()))
                        .build();
        return new Turn(spec, output, conversation.mNumber);
    }

    private Conversation pickConversation() {
        if (!mOpen.isEmpty() && mRandom.nextDouble() < CONTINUE_SHARE) {
            final int index = mRandom.nextInt(mOpen.size());
            final Conversation conversation = mOpen.get(index);
            conversation.mTurns++;
            if (conversation.mTurns < MAX_TURNS) {
                return conversation;
            }
            mOpen.remove(index);
        }
        if (mOpen.size() >= MAX_OPEN_CONVERSATIONS) {
            mOpen.remove(mRandom.nextInt(MAX_OPEN_CONVERSATIONS));
        }
        final double skewed = Math.pow(mRandom.nextDouble(), 2);
        final Conversation conversation =
                new Conversation(
                        mRandom.nextInt(Integer.MAX_VALUE),
                        (int) (skewed * APPLICATIONS),
                        pickTier());
        mOpen.add(conversation);
        return conversation;
    }

    private Tier pickTier() {
        final int percent = mRandom.nextInt(PERCENT);
        int tier = 0;
        while (percent >= CUMULATIVE_TIER_PERCENT[tier]) {
            tier++;
        }
        return TIERS.get(tier);
    }

    private static Tier tier(final String name, final int priority, final int targetSeconds) {
        return new Tier(
                name, priority, Duration.ofSeconds(targetSeconds), Duration.ofMillis(200), TIMEOUT);
    }

    /**
     * One request of a conversation.
     *
     * @param spec the request
     * @param outputTokens number of tokens in its answer
     * @param conversation number of its conversation
     */
    public record Turn(RequestSpec spec, int outputTokens, int conversation) {}

    /** An open conversation and the block hashes of its prompt. */
    private static final class Conversation {
        private final int mNumber;
        private final int mApplication;
        private final Tier mTier;
        private final List<Long> mPrefixes = new ArrayList<>();
        private int mTurns;

        Conversation(final int number, final int application, final Tier tier) {
            mNumber = number;
            mApplication = application;
            mTier = tier;
            grow(APPLICATION_BLOCKS, new Random(application));
        }

        void grow(final int blocks, final Random random) {
            for (int i = 0; i < blocks; i++) {
                mPrefixes.add(random.nextLong());
            }
        }
    }
}
