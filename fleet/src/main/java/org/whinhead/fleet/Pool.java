package org.whinhead.fleet;

import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.ModelRef;

/**
 * The desired state of a pool, from the settings.
 *
 * @param name the pool's name
 * @param model the model, version and adapter that each of its engines serves
 * @param modelBytes the size of the model's weights in bytes
 * @param needed the number of VMs that must remain after the largest domain is lost
 * @param supplies the supplies that the pool may use
 */
public record Pool(
        PoolName name, ModelRef model, long modelBytes, int needed, List<Supply> supplies) {

    /** Validates the components and copies the list. */
    public Pool {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(model, "model");
        Arguments.requireAtLeast(modelBytes, 0, "modelBytes");
        Arguments.requireAtLeast(needed, 0, "needed");
        supplies = List.copyOf(supplies);
    }
}
