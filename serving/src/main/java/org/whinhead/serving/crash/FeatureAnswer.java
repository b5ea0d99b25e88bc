package org.whinhead.serving.crash;

import java.util.List;

/**
 * The answer to a request with suspected features.
 *
 * @param features the suspected features of the request, with their levels after the answer
 * @param isComplete whether the answer is complete; otherwise it has begun
 */
public record FeatureAnswer(List<FeatureLevel> features, boolean isComplete) {

    /** Copies the features. */
    public FeatureAnswer {
        features = List.copyOf(features);
    }

    /**
     * Returns the features without their levels.
     *
     * @return the suspected features of the request
     */
    public List<RequestFeature> plainFeatures() {
        return features.stream().map(FeatureLevel::feature).toList();
    }
}
