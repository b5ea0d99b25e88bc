package org.whinhead.gateway.endpoint;

import java.time.Instant;
import java.util.Objects;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.serving.limit.BrittleEndpoints;

/** Logs when the endpoints of a service begin or cease to say that they are brittle. */
public final class BrittleServicesLogger {

    private static final Logger LOG = LoggerFactory.getLogger(BrittleServicesLogger.class);

    private final BrittleEndpoints mEndpoints;
    private Set<String> mServices = Set.of();

    /**
     * Creates a logger.
     *
     * @param endpoints the statements of the endpoints
     */
    public BrittleServicesLogger(final BrittleEndpoints endpoints) {
        mEndpoints = Objects.requireNonNull(endpoints, "endpoints");
    }

    /**
     * Returns the number of services with brittle endpoints at the last check.
     *
     * @return the number of services
     */
    public int serviceCount() {
        return mServices.size();
    }

    /**
     * Logs a change since the last call; must be called several times per second.
     *
     * @param now the current time
     */
    public void tick(final Instant now) {
        final Set<String> services = mEndpoints.brittleServices(now);
        if (!services.equals(mServices)) {
            mServices = services;
            LOG.atInfo().addKeyValue("services", services).log("brittle endpoints changed");
        }
    }
}
