package org.whinhead.gateway.crash;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.whinhead.serving.crash.RequestFeature;

/**
 * A feature of a request, whose digest and hash are computed only when they are needed, and kept:
 * they may be asked for again after the body of the request was released.
 */
public final class FeatureSource {

    private final String mName;
    private final int mShape;
    private final LongSupplier mHash;
    private final Supplier<RequestFeature> mDigest;
    private OptionalLong mHashValue = OptionalLong.empty();
    private Optional<RequestFeature> mFeature = Optional.empty();

    /**
     * Creates a source.
     *
     * @param name what the feature is, for logs
     * @param shape a cheap hash, the same in every daemon
     * @param hash computes a longer hash, far cheaper than the digest
     * @param digest computes the feature
     */
    FeatureSource(
            final String name,
            final int shape,
            final LongSupplier hash,
            final Supplier<RequestFeature> digest) {
        mName = name;
        mShape = shape;
        mHash = hash;
        mDigest = digest;
    }

    /**
     * Returns what the feature is.
     *
     * @return a text for logs
     */
    public String name() {
        return mName;
    }

    /**
     * Returns the shape.
     *
     * @return a cheap hash, the same in every daemon
     */
    public int shape() {
        return mShape;
    }

    /**
     * Returns a hash by which answers are remembered. Callers can make requests with the same one.
     *
     * @return the hash, the same in every daemon
     */
    public long hash() {
        if (mHashValue.isEmpty()) {
            mHashValue = OptionalLong.of(mHash.getAsLong());
        }
        return mHashValue.getAsLong();
    }

    /**
     * Returns the feature.
     *
     * @return the feature, the same in every daemon
     */
    public RequestFeature feature() {
        if (mFeature.isEmpty()) {
            mFeature = Optional.of(mDigest.get());
        }
        return mFeature.get();
    }
}
