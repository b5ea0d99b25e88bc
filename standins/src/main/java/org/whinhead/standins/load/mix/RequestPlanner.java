package org.whinhead.standins.load.mix;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.function.ToIntFunction;
import org.whinhead.api.request.RequestId;

/**
 * Generates random requests of a workload; the same seed gives the same requests. Not thread-safe.
 */
public final class RequestPlanner {

    private static final int VOCABULARY_SIZE = 1 << 18;
    private static final int RADIX = 36;
    private static final long PREFIX_SEED_STEP = 7919;

    private final Workload mWorkload;
    private final SplittableRandom mRandom;

    /**
     * Creates a planner.
     *
     * @param workload the customers and kinds of request
     * @param seed the seed of all random choices
     */
    public RequestPlanner(final Workload workload, final long seed) {
        mWorkload = Objects.requireNonNull(workload, "mix");
        mRandom = new SplittableRandom(seed);
    }

    /** Returns the next request. */
    public PlannedRequest next() {
        final LoadCustomer customer = drawWeighted(mWorkload.customers(), LoadCustomer::weight);
        final RequestKind kind = drawWeighted(mWorkload.kinds(), RequestKind::weight);
        final RequestId id =
                new RequestId(new UUID(mRandom.nextLong(), mRandom.nextLong()).toString());
        final List<String> messages = messages(customer, kind);
        final int tokens = mRandom.nextInt(kind.minTokens(), kind.maxTokens() + 1);
        return new PlannedRequest(id, customer, kind, messages, tokens);
    }

    private List<String> messages(final LoadCustomer customer, final RequestKind kind) {
        final List<String> messages = new ArrayList<>();
        if (kind.sharedPrefixes() > 0) {
            messages.add(prefix(customer, kind, mRandom.nextInt(kind.sharedPrefixes())));
        }
        messages.add(words(mRandom, kind.promptWords()));
        return messages;
    }

    private static String prefix(
            final LoadCustomer customer, final RequestKind kind, final int number) {
        final long seed = (customer.name() + kind.name()).hashCode() + number * PREFIX_SEED_STEP;
        return words(new SplittableRandom(seed), kind.prefixWords());
    }

    private static String words(final SplittableRandom random, final int count) {
        final StringBuilder text = new StringBuilder();
        for (int index = 0; index < count; index++) {
            text.append(Integer.toString(random.nextInt(VOCABULARY_SIZE), RADIX)).append(' ');
        }
        return text.toString().trim();
    }

    private <T> T drawWeighted(final List<T> choices, final ToIntFunction<T> weight) {
        int remainingWeight = mRandom.nextInt(choices.stream().mapToInt(weight).sum());
        for (final T choice : choices) {
            remainingWeight -= weight.applyAsInt(choice);
            if (remainingWeight < 0) {
                return choice;
            }
        }
        throw new IllegalStateException("no choice for the drawn weight");
    }
}
