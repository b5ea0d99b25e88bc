package org.whinhead.serving.configuration.check;

import org.whinhead.serving.configuration.CallerLimits;
import org.whinhead.serving.configuration.ConfigurationHolder;
import org.whinhead.serving.configuration.ServingConfiguration;

/** Finds what a configuration changes, and which of the changes take away what is in use. */
public final class ConfigurationComparison {

    /**
     * Compares a configuration with the one in force.
     *
     * @param inForce the configuration in force
     * @param next the configuration that would replace it
     * @param findings where findings are added
     */
    public void compare(
            final WrittenConfiguration inForce,
            final WrittenConfiguration next,
            final Findings findings) {
        final int before = findings.list().size();
        new RouteChanges(inForce, next, findings).find();
        new ServiceChanges(inForce, next, findings).find();
        new CustomerChanges(inForce, next, findings).find();
        compareLimits(inForce.limits().value(), next.limits(), findings);
        final boolean same = findings.list().size() == before;
        final ServingConfiguration candidate = next.effective();
        final boolean sameVersion = inForce.version().value().equals(next.version().value());
        if (!(same && sameVersion) && !isPutInForce(inForce.effective(), candidate)) {
            findings.add(
                    Severity.ERROR,
                    next.version().field(EntryField.VERSION),
                    "version-not-newer",
                    candidate.version(),
                    inForce.version().value());
        }
    }

    private static boolean isPutInForce(
            final ServingConfiguration inForce, final ServingConfiguration candidate) {
        final ConfigurationHolder holder = new ConfigurationHolder();
        holder.offer(inForce);
        return holder.offer(candidate);
    }

    private static void compareLimits(
            final CallerLimits old, final Located<CallerLimits> next, final Findings findings) {
        final CallerLimits limits = next.value();
        final NumberChange change = new NumberChange("limit-lowered", "limit-raised", findings);
        change.add(
                next.field(EntryField.MAX_HEADER), old.maxHeaderBytes(), limits.maxHeaderBytes());
        change.add(next.field(EntryField.MAX_BODY), old.maxBodyBytes(), limits.maxBodyBytes());
        change.add(
                next.field(EntryField.HEADER_TIMEOUT),
                old.headerTimeout().toMillis(),
                limits.headerTimeout().toMillis());
        change.add(
                next.field(EntryField.IDLE_TIMEOUT),
                old.idleTimeout().toMillis(),
                limits.idleTimeout().toMillis());
    }
}
