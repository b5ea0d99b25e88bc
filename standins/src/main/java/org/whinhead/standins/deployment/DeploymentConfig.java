package org.whinhead.standins.deployment;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * Settings of a deployment's stand-ins.
 *
 * @param plan the failure domains, model and service of the deployment
 * @param ports the first port, or 0 for free ones
 * @param speedUp the speed of engines, weight loads and VM starts relative to real ones
 * @param vmLag the age of the snapshot that the VM list returns
 * @param readerGrace the time after which engines drop a stream without a reader
 * @param entries the addresses of the daemons on the VM list
 */
public record DeploymentConfig(
        DeploymentPlan plan,
        int ports,
        double speedUp,
        Duration vmLag,
        Duration readerGrace,
        List<URI> entries) {

    /** Validates the components and copies the list. */
    public DeploymentConfig {
        Objects.requireNonNull(plan, "plan");
        Arguments.requireAtLeast(ports, 0, "ports");
        Objects.requireNonNull(vmLag, "vmLag");
        Objects.requireNonNull(readerGrace, "readerGrace");
        entries = List.copyOf(entries);
        if (!(speedUp > 0)) {
            throw new IllegalArgumentException("speedUp is not positive");
        }
    }

    /**
     * Returns settings with free ports, the speed of real engines and a VM list lag of 3 s.
     *
     * @param plan the failure domains, model and service of the deployment
     * @return the settings
     */
    public static DeploymentConfig of(final DeploymentPlan plan) {
        return new DeploymentConfig(
                plan, 0, 1, Duration.ofSeconds(3), Duration.ofSeconds(10), List.of());
    }

    /**
     * Returns a copy with another speed.
     *
     * @param factor the speed relative to real engines
     * @return a copy of these settings
     */
    public DeploymentConfig withSpeedUp(final double factor) {
        return new DeploymentConfig(plan, ports, factor, vmLag, readerGrace, entries);
    }

    /**
     * Returns a copy with another lag of the VM list.
     *
     * @param lag the age of the snapshot that the list returns
     * @return a copy of these settings
     */
    public DeploymentConfig withVmLag(final Duration lag) {
        return new DeploymentConfig(plan, ports, speedUp, lag, readerGrace, entries);
    }

    /**
     * Returns a copy with the daemons' addresses.
     *
     * @param uris the addresses
     * @return a copy of these settings
     */
    public DeploymentConfig withEntries(final List<URI> uris) {
        return new DeploymentConfig(plan, ports, speedUp, vmLag, readerGrace, uris);
    }

    /** Returns the port at an offset from the first port, or 0 for a free port. */
    int port(final int offset) {
        return ports == 0 ? 0 : ports + offset;
    }
}
