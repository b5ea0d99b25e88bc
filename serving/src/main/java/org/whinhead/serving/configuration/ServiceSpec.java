package org.whinhead.serving.configuration;

import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * Configuration of a service.
 *
 * @param name the service's name
 * @param healthPath the path of the health check of its endpoints
 * @param maxConnections the number of connections one endpoint accepts from all callers together
 * @param modelEngine whether its endpoints run language models
 * @param engineLink the link over which its endpoints copy cached prompts, if they can
 * @param scaling the limits within which endpoints may be ordered, if any
 */
public record ServiceSpec(
        String name,
        String healthPath,
        int maxConnections,
        boolean modelEngine,
        Optional<EngineLink> engineLink,
        Optional<ScalingLimits> scaling) {

    /** Checks the components. */
    public ServiceSpec {
        Arguments.requireText(name, "name");
        Arguments.requireText(healthPath, "healthPath");
        Arguments.requireAtLeast(maxConnections, 1, "maxConnections");
        Objects.requireNonNull(engineLink, "engineLink");
        Objects.requireNonNull(scaling, "scaling");
    }
}
