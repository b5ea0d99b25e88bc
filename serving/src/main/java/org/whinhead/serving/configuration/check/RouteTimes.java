package org.whinhead.serving.configuration.check;

import org.whinhead.serving.route.Route;

/** Finds time limits of routes that contradict each other or what callers wait. */
final class RouteTimes implements ConfigurationRule {

    private final CheckAssumptions mAssumptions;

    RouteTimes(final CheckAssumptions assumptions) {
        mAssumptions = assumptions;
    }

    @Override
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        for (final Located<Route> located : configuration.routes()) {
            final Route route = located.value();
            if (route.targetLatency().compareTo(route.timeout()) > 0) {
                findings.warn(
                        located.field(EntryField.TARGET_LATENCY),
                        "target-beyond-timeout",
                        route.targetLatency().toMillis(),
                        route.timeout().toMillis());
            }
            // A stream shows progress, so its callers wait for it as long as it goes on.
            if (!route.kind().isStream()
                    && route.timeout().compareTo(mAssumptions.callerWait()) > 0) {
                findings.warn(
                        located.field(EntryField.TIMEOUT),
                        "timeout-beyond-callers",
                        route.timeout().toMillis(),
                        mAssumptions.callerWait().toMillis());
            }
        }
    }
}
