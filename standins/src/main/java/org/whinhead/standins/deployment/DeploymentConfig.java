package org.whinhead.standins.deployment;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * How a deployment's stand-ins are run.
 *
 * @param plan what stands where
 * @param ports the first port, or 0 for free ones
 * @param speedUp how many times as fast as real engines and VM starts
 * @param vmLag how old what the VM list shows is
 * @param readerGrace how long engines go on with a stream that nobody reads
 * @param entries the addresses of the system's daemons, for the VM list
 */
public record DeploymentConfig(
        DeploymentPlan plan,
        int ports,
        double speedUp,
        Duration vmLag,
        Duration readerGrace,
        List<URI> entries) {

    /** Checks every part and copies the list. */
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
     * Makes settings on free ports, at the speed of real engines and with a lag of 3 s.
     *
     * @param plan what stands where
     * @return the settings
     */
    public static DeploymentConfig of(final DeploymentPlan plan) {
        return new DeploymentConfig(
                plan, 0, 1, Duration.ofSeconds(3), Duration.ofSeconds(10), List.of());
    }

    /**
     * Returns the same settings at another speed.
     *
     * @param factor how many times as fast as real engines
     * @return a copy of these settings
     */
    public DeploymentConfig withSpeedUp(final double factor) {
        return new DeploymentConfig(plan, ports, factor, vmLag, readerGrace, entries);
    }

    /**
     * Returns the same settings with another lag of the VM list.
     *
     * @param lag how old what the list shows is
     * @return a copy of these settings
     */
    public DeploymentConfig withVmLag(final Duration lag) {
        return new DeploymentConfig(plan, ports, speedUp, lag, readerGrace, entries);
    }

    /**
     * Returns the same settings with the daemons' addresses.
     *
     * @param uris the addresses
     * @return a copy of these settings
     */
    public DeploymentConfig withEntries(final List<URI> uris) {
        return new DeploymentConfig(plan, ports, speedUp, vmLag, readerGrace, uris);
    }

    /** Returns a port by its place after the first, or 0 for a free one. */
    int port(final int place) {
        return ports == 0 ? 0 : ports + place;
    }
}
