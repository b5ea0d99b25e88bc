package org.whinhead.serving.configuration.check;

import java.util.List;

/** Checks a configuration by all rules. */
public final class ConfigurationCheck {

    private final List<ConfigurationRule> mRules;

    /**
     * Creates a check.
     *
     * @param assumptions what the rules assume about the deployment
     */
    public ConfigurationCheck(final CheckAssumptions assumptions) {
        mRules =
                List.of(
                        new ShadowedRoutes(),
                        new UnmatchableRoutes(),
                        new RouteServices(),
                        new RouteShares(),
                        new RouteTimes(assumptions),
                        new RouteAttempts(assumptions),
                        new ServiceEndpoints(),
                        new CustomerKeys(),
                        new CustomerAllowances(),
                        new Ranks(),
                        new RepeatedNames());
    }

    /**
     * Checks a configuration. Rules about missing entries are left out if some entries could not be
     * decoded.
     *
     * @param configuration the configuration
     * @param findings where findings are added
     */
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        for (final ConfigurationRule rule : mRules) {
            if (configuration.complete() || !rule.needsAllEntries()) {
                rule.check(configuration, findings);
            }
        }
    }
}
