package org.whinhead.daemon.limits;

import org.whinhead.daemon.operator.Meters;

/** The metrics of admission. */
public final class AdmissionMetrics {

    private static final String UNIT = "requests";

    private AdmissionMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param meters the registry of metrics
     * @param admission the admission whose counts are measured
     */
    public static void register(final Meters meters, final DaemonAdmission admission) {
        meters.gauge(
                "whinhead.admission.waiting",
                UNIT,
                "Requests that wait for a slot.",
                () -> admission.counts().waiting());
        meters.gauge(
                "whinhead.admission.running",
                UNIT,
                "Requests that hold a slot.",
                () -> admission.counts().running());
        meters.gauge(
                "whinhead.admission.returned",
                UNIT,
                "Requests that came back with a ticket and went on without a queue.",
                () -> admission.counts().resumed());
        meters.gauge(
                "whinhead.admission.returned.without.budget",
                UNIT,
                "Requests that came back and went on though no budget was left.",
                () -> admission.counts().resumedWithoutBudget());
    }
}
