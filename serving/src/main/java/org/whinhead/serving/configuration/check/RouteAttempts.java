package org.whinhead.serving.configuration.check;

import org.whinhead.serving.limit.ServiceRetryBudget;
import org.whinhead.serving.route.Route;

/** Finds numbers of attempts that the retry budget does not allow. */
final class RouteAttempts implements ConfigurationRule {

    private final int mRetries;

    RouteAttempts(final CheckAssumptions assumptions) {
        mRetries = ServiceRetryBudget.usableFixedRetries(assumptions.fixedRetries());
    }

    @Override
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        for (final Located<Route> located : configuration.routes()) {
            final Route route = located.value();
            if (route.maxAttempts() - 1 > mRetries) {
                findings.warn(
                        located.field(EntryField.MAX_ATTEMPTS),
                        "attempts-beyond-budget",
                        route.maxAttempts(),
                        mRetries);
            }
        }
    }
}
