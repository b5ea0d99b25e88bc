package org.whinhead.serving.configuration.check;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * What a check assumes about a deployment and the configuration does not say.
 *
 * @param callerWait the longest time that callers wait for an answer that is not a stream
 * @param fixedRetries the retries of all daemons together beyond a share of the requests
 */
public record CheckAssumptions(Duration callerWait, int fixedRetries) {

    /** Checks the components. */
    public CheckAssumptions {
        Arguments.requirePositive(callerWait, "callerWait");
        Arguments.requireAtLeast(fixedRetries, 0, "fixedRetries");
    }
}
