package org.whinhead.daemon.view;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.ModelRef;
import org.whinhead.settings.deployment.DocumentValue.ServiceEntry;

/**
 * The customers, models and services in force, against which callers' requests are checked.
 *
 * @param customers all customers
 * @param models the models by every name that a caller may use
 * @param services the plain services by name
 */
public record DeploymentView(
        List<Customer> customers,
        Map<String, ModelRef> models,
        Map<String, ServiceEntry> services) {

    /** The view before any settings are known. */
    public static final DeploymentView EMPTY = new DeploymentView(List.of(), Map.of(), Map.of());

    /** Copies every part. */
    public DeploymentView {
        customers = List.copyOf(customers);
        models = Map.copyOf(models);
        services = Map.copyOf(services);
    }

    /**
     * Finds a model.
     *
     * @param name the name in the caller's request
     * @return the model, or empty if none is configured
     */
    public Optional<ModelRef> model(final String name) {
        return Optional.ofNullable(models.get(Objects.requireNonNull(name, "name")));
    }

    /**
     * Finds a plain service.
     *
     * @param name the service's name
     * @return its rules, or empty if none is configured
     */
    public Optional<ServiceEntry> service(final String name) {
        return Optional.ofNullable(services.get(Objects.requireNonNull(name, "name")));
    }
}
