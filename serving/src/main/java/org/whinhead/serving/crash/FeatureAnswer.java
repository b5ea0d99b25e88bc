package org.whinhead.serving.crash;

import java.util.List;

/**
 * The answer to a request with suspected features.
 *
 * @param features the suspected features of the request
 * @param isComplete whether the answer is complete; otherwise it has begun
 */
public record FeatureAnswer(List<RequestFeature> features, boolean isComplete) {

    /** Copies the features. */
    public FeatureAnswer {
        features = List.copyOf(features);
    }
}
