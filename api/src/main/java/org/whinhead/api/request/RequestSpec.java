package org.whinhead.api.request;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Tier;

/**
 * Properties of a request that decisions about it need; the transport holds its body.
 *
 * @param id the request's identifier
 * @param customer the customer that sent it
 * @param tier the service tier that applies to it
 * @param kind the kind of endpoint that it needs
 * @param model the model that it needs; empty for a plain service
 * @param service the plain service that it needs; empty for a model
 * @param idempotent whether it may run more than once
 * @param streamed whether the caller wants tokens as they are generated
 * @param prefixHashes hashes of the prompt's leading blocks, each covering all blocks before it
 * @param promptTokens the estimated length of the prompt, in tokens
 * @param maxTokens the maximum number of tokens to generate
 * @param arrived when the daemon received it
 * @param deadline when its response must be complete
 */
public record RequestSpec(
        RequestId id,
        CustomerId customer,
        Tier tier,
        EndpointKind kind,
        Optional<ModelRef> model,
        String service,
        boolean idempotent,
        boolean streamed,
        List<Long> prefixHashes,
        int promptTokens,
        int maxTokens,
        Instant arrived,
        Instant deadline) {

    /** Validates the components and copies the list. */
    public RequestSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(tier, "tier");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(service, "service");
        prefixHashes = List.copyOf(prefixHashes);
        Arguments.requireAtLeast(promptTokens, 0, "promptTokens");
        Arguments.requireAtLeast(maxTokens, 0, "maxTokens");
        Objects.requireNonNull(arrived, "arrived");
        Objects.requireNonNull(deadline, "deadline");
    }

    /**
     * Returns a builder.
     *
     * @param id the request's identifier
     * @return the builder
     */
    public static Builder builder(final RequestId id) {
        return new Builder(id);
    }

    /** Builds a {@link RequestSpec}. */
    public static final class Builder {
        private final RequestId mId;
        private CustomerId mCustomer;
        private Tier mTier;
        private EndpointKind mKind = EndpointKind.MODEL_ENGINE;
        private Optional<ModelRef> mModel = Optional.empty();
        private String mService = "";
        private boolean mIdempotent = true;
        private boolean mStreamed;
        private List<Long> mPrefixHashes = List.of();
        private int mPromptTokens;
        private int mMaxTokens;
        private Instant mArrived;
        private Instant mDeadline;

        private Builder(final RequestId id) {
            mId = id;
        }

        /** Sets the customer that sent the request; required. */
        public Builder customer(final CustomerId customer) {
            mCustomer = customer;
            return this;
        }

        /** Sets the tier; required. */
        public Builder tier(final Tier tier) {
            mTier = tier;
            return this;
        }

        /** Sets the model, for a model engine. */
        public Builder model(final ModelRef model) {
            mKind = EndpointKind.MODEL_ENGINE;
            mModel = Optional.of(model);
            return this;
        }

        /** Sets the plain service. */
        public Builder service(final String service) {
            mKind = EndpointKind.PLAIN_SERVICE;
            mService = service;
            return this;
        }

        /** Sets whether the request may run more than once; true by default. */
        public Builder idempotent(final boolean idempotent) {
            mIdempotent = idempotent;
            return this;
        }

        /** Sets whether tokens are sent as they are generated; false by default. */
        public Builder streamed(final boolean streamed) {
            mStreamed = streamed;
            return this;
        }

        /** Sets the hashes of the prompt's leading blocks; none by default. */
        public Builder prefixHashes(final List<Long> prefixHashes) {
            mPrefixHashes = prefixHashes;
            return this;
        }

        /** Sets the prompt's length in tokens; 0 by default. */
        public Builder promptTokens(final int promptTokens) {
            mPromptTokens = promptTokens;
            return this;
        }

        /** Sets the maximum number of tokens to generate; 0 by default. */
        public Builder maxTokens(final int maxTokens) {
            mMaxTokens = maxTokens;
            return this;
        }

        /** Sets when the request arrived; required. */
        public Builder arrived(final Instant arrived) {
            mArrived = arrived;
            return this;
        }

        /** Sets when the response must be complete; required. */
        public Builder deadline(final Instant deadline) {
            mDeadline = deadline;
            return this;
        }

        /** Builds the specification. */
        public RequestSpec build() {
            return new RequestSpec(
                    mId,
                    mCustomer,
                    mTier,
                    mKind,
                    mModel,
                    mService,
                    mIdempotent,
                    mStreamed,
                    mPrefixHashes,
                    mPromptTokens,
                    mMaxTokens,
                    mArrived,
                    mDeadline);
        }
    }
}
