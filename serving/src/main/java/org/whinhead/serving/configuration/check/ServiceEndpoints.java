package org.whinhead.serving.configuration.check;

import org.whinhead.serving.configuration.ScalingLimits;
import org.whinhead.serving.configuration.ServiceSpec;

/** Finds scaling limits under which a service has no endpoints. */
final class ServiceEndpoints implements ConfigurationRule {

    @Override
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        for (final Located<ServiceSpec> service : configuration.services()) {
            service.value().scaling().ifPresent(scaling -> check(service, scaling, findings));
        }
    }

    private static void check(
            final Located<ServiceSpec> service,
            final ScalingLimits scaling,
            final Findings findings) {
        if (scaling.most() == 0) {
            findings.warn(
                    service.field(EntryField.SCALING_MOST),
                    "service-without-endpoints",
                    service.value().name());
        }
        if (scaling.domainPrices().isEmpty()) {
            findings.warn(
                    service.field(EntryField.DOMAIN_PRICES),
                    "service-without-domains",
                    service.value().name());
        }
        if (scaling.reclaimablePrice() > 1) {
            findings.warn(
                    service.field(EntryField.RECLAIMABLE_PRICE),
                    "reclaimable-price",
                    scaling.reclaimablePrice());
        }
    }
}
