package org.whinhead.daemon.view;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.whinhead.api.model.ModelRef;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentValue.ModelEntry;
import org.whinhead.settings.deployment.DocumentValue.ServiceEntry;

/** Creates the view that requests are checked against from the settings in force. */
public final class DeploymentViewFactory {

    private DeploymentViewFactory() {}

    /**
     * Creates a view.
     *
     * @param settings the settings in force
     * @return the view
     */
    public static DeploymentView of(final DeploymentSettings settings) {
        return new DeploymentView(
                settings.customers(),
                models(settings),
                settings.services().stream()
                        .collect(Collectors.toMap(ServiceEntry::name, Function.identity())));
    }

    /** Maps full names, and each bare model name to its version with the largest target share. */
    private static Map<String, ModelRef> models(final DeploymentSettings settings) {
        final Map<String, ModelRef> models = new HashMap<>();
        for (final ModelEntry entry : settings.models()) {
            final ModelRef model = entry.model();
            models.put(model.toString(), model);
            for (final String adapter : entry.adapters()) {
                final ModelRef adapted =
                        new ModelRef(model.name(), model.version(), Optional.of(adapter));
                models.put(adapted.toString(), adapted);
            }
        }
        settings.models().stream()
                .sorted(Comparator.comparingDouble(ModelEntry::targetShare))
                .forEach(entry -> models.put(entry.model().name(), entry.model()));
        return models;
    }
}
