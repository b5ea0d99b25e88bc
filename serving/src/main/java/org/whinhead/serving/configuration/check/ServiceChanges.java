package org.whinhead.serving.configuration.check;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.whinhead.serving.configuration.ScalingLimits;
import org.whinhead.serving.configuration.ServiceSpec;

/** Finds services that a change adds, removes or limits. */
final class ServiceChanges {

    private final WrittenConfiguration mInForce;
    private final WrittenConfiguration mNext;
    private final Findings mFindings;
    private final NumberChange mLimits;

    ServiceChanges(
            final WrittenConfiguration inForce,
            final WrittenConfiguration next,
            final Findings findings) {
        mInForce = inForce;
        mNext = next;
        mFindings = findings;
        mLimits = new NumberChange("limit-lowered", "limit-raised", findings);
    }

    /** Adds the findings. */
    void find() {
        final Map<String, Located<ServiceSpec>> old = byName(mInForce);
        final Map<String, Located<ServiceSpec>> next = byName(mNext);
        for (final Located<ServiceSpec> service : mInForce.services()) {
            final String name = service.value().name();
            if (old.get(name) != service) {
                continue;
            }
            if (next.containsKey(name)) {
                compare(service.value(), next.get(name));
            } else {
                mFindings.warn(service.path().text(), "service-removed", name);
            }
        }
        for (final Located<ServiceSpec> service : mNext.services()) {
            final String name = service.value().name();
            if (next.get(name) == service && !old.containsKey(name)) {
                mFindings.add(Severity.NOTE, service.path().text(), "service-added", name);
            }
        }
    }

    private static Map<String, Located<ServiceSpec>> byName(
            final WrittenConfiguration configuration) {
        final Map<String, Located<ServiceSpec>> services = new HashMap<>();
        configuration.services().forEach(entry -> services.put(entry.value().name(), entry));
        return services;
    }

    private void compare(final ServiceSpec old, final Located<ServiceSpec> located) {
        final ServiceSpec next = located.value();
        mLimits.add(
                located.field(EntryField.MAX_CONNECTIONS),
                old.maxConnections(),
                next.maxConnections());
        if (!old.healthPath().equals(next.healthPath())
                || old.modelEngine() != next.modelEngine()
                || !old.engineLink().equals(next.engineLink())) {
            mFindings.warn(located.path().text(), "service-changed", next.name());
        }
        compareScaling(old.scaling(), located);
    }

    private void compareScaling(
            final Optional<ScalingLimits> old, final Located<ServiceSpec> located) {
        final Optional<ScalingLimits> next = located.value().scaling();
        final String name = located.value().name();
        if (old.isPresent() && next.isPresent()) {
            mLimits.add(
                    located.field(EntryField.SCALING_MOST), old.get().most(), next.get().most());
            if (!next.get()
                    .domainPrices()
                    .keySet()
                    .containsAll(old.get().domainPrices().keySet())) {
                mFindings.warn(
                        located.field(EntryField.DOMAIN_PRICES), "service-domains-removed", name);
            }
            if (old.get().most() == next.get().most() && !old.equals(next)) {
                mFindings.add(
                        Severity.NOTE, located.field(EntryField.SCALING), "scaling-changed", name);
            }
        } else if (old.isPresent()) {
            mFindings.warn(located.field(EntryField.SCALING), "scaling-removed", name);
        } else if (next.isPresent()) {
            mFindings.add(
                    Severity.NOTE, located.field(EntryField.SCALING), "scaling-changed", name);
        }
    }
}
