package org.whinhead.serving.crash;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A feature of a request, and the number of crashes that count against it.
 *
 * @param feature the feature
 * @param level the number of crashes; 0 if it is not suspected
 */
public record FeatureLevel(RequestFeature feature, int level) {

    /** Checks the components. */
    public FeatureLevel {
        Objects.requireNonNull(feature, "feature");
        Arguments.requireAtLeast(level, 0, "level");
    }
}
