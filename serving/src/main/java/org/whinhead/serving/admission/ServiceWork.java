package org.whinhead.serving.admission;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * The requests of one daemon for a service, as it reports them.
 *
 * @param service the service
 * @param running its requests in progress at the service's endpoints
 * @param waiting its requests that wait at the daemon
 */
public record ServiceWork(String service, RankCounts running, RankCounts waiting) {

    /** Checks the components. */
    public ServiceWork {
        Arguments.requireText(service, "service");
        Objects.requireNonNull(running, "running");
        Objects.requireNonNull(waiting, "waiting");
    }
}
