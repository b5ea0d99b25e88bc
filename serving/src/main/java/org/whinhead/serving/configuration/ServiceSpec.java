package org.whinhead.serving.configuration;

import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * A service as the configuration has it.
 *
 * @param name the service's name
 * @param maxConnections how many connections one endpoint accepts from all callers together
 * @param modelEngine whether its endpoints run language models
 * @param engineLink how fast its endpoints copy cached prompts from each other, if they can
 * @param scaling how many endpoints may be ordered, if any
 */
public record ServiceSpec(
        String name,
        int maxConnections,
        boolean modelEngine,
        Optional<EngineLink> engineLink,
        Optional<ScalingLimits> scaling) {

    /** Checks the parts. */
    public ServiceSpec {
        Arguments.requireText(name, "name");
        Arguments.requireAtLeast(maxConnections, 1, "maxConnections");
        Objects.requireNonNull(engineLink, "engineLink");
        Objects.requireNonNull(scaling, "scaling");
    }
}
