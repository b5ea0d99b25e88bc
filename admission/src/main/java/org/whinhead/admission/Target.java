package org.whinhead.admission;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.request.RequestSpec;

/**
 * What requests queue for: one model or one plain service.
 *
 * @param kind the kind of endpoint
 * @param name the model reference or the service's name
 */
public record Target(EndpointKind kind, String name) {

    /** Checks both parts. */
    public Target {
        Objects.requireNonNull(kind, "kind");
        Arguments.requireText(name, "name");
    }

    /**
     * Returns the target of a request.
     *
     * @param spec the request
     * @return its target
     */
    public static Target of(final RequestSpec spec) {
        return new Target(spec.kind(), spec.model().map(ModelRef::toString).orElse(spec.service()));
    }
}
