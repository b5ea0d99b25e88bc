package org.whinhead.serving.speed;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * What one daemon has observed of an endpoint's speed.
 *
 * <p>The weights of samples halve in a fixed time. A report has all of them that still count, so
 * that it makes up for a lost one and may be applied twice.
 *
 * @param service the endpoint's service
 * @param endpoint the endpoint's id
 * @param weight the weight of the daemon's samples
 * @param deviation the mean logarithm of the time taken over the service's typical time
 * @param running the mean number of requests in progress there
 * @param age the time since the last sample
 * @param changeAge the time since samples showed a sudden change of the speed; empty without one
 */
public record SpeedReport(
        String service,
        String endpoint,
        double weight,
        double deviation,
        int running,
        Duration age,
        Optional<Duration> changeAge) {

    /** Checks the components. */
    public SpeedReport {
        Arguments.requireText(service, "service");
        Arguments.requireText(endpoint, "endpoint");
        Objects.requireNonNull(age, "age");
        Objects.requireNonNull(changeAge, "changeAge");
        if (!(weight >= 0) || !Double.isFinite(weight) || !Double.isFinite(deviation)) {
            throw new IllegalArgumentException("weight or deviation is not a valid number");
        }
    }

    /** Returns this report with another deviation. */
    SpeedReport withDeviation(final double other) {
        return new SpeedReport(service, endpoint, weight, other, running, age, changeAge);
    }
}
