package org.whinhead.serving.crash;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * An endpoint that has crashed, and the requests of one daemon that were in progress on it.
 *
 * @param endpoint the endpoint's id
 * @param runs the requests
 */
public record EndpointCrash(String endpoint, List<LostRun> runs) {

    /** Checks the components. */
    public EndpointCrash {
        Arguments.requireText(endpoint, "endpoint");
        runs = List.copyOf(runs);
    }

    /**
     * A request that was in progress there.
     *
     * @param features its features, with the crashes that count against each, this one included
     */
    public record LostRun(List<FeatureLevel> features) {

        /** Copies the features. */
        public LostRun {
            features = List.copyOf(features);
        }
    }
}
