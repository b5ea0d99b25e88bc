package org.whinhead.admission;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.request.RequestSpec;

/**
 * A model or plain service that requests are sent to.
 *
 * @param kind the kind of endpoint
 * @param name the model reference or the name of the service
 */
public record Target(EndpointKind kind, String name) {

    /** Checks that both components are present. */
    public Target {
        Objects.requireNonNull(kind, "kind");
        Arguments.requireText(name, "name");
    }

    /**
     * Returns the target of a request.
     *
     * @param spec the request
     * @return the model or service that the request is for
     */
    public static Target of(final RequestSpec spec) {
        return new Target(spec.kind(), spec.model().map(ModelRef::toString).orElse(spec.service()));
    }
}
