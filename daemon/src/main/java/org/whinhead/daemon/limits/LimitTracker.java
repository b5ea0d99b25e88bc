package org.whinhead.daemon.limits;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.whinhead.admission.CapacityShare;
import org.whinhead.admission.Target;
import org.whinhead.admission.budget.TeamRate;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.api.model.TeamId;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentValue;

/**
 * Tracks the settings, endpoints and number of daemons, and publishes the limits that follow as one
 * immutable snapshot; updated on any thread, read on the decision thread.
 */
public final class LimitTracker {

    /**
     * The slots that one daemon may use, as a multiple of its even share: callers are spread
     * unevenly over the daemons, and the endpoints queue the excess.
     */
    private static final double EVEN_SHARE_FACTOR = 1.5;

    private final int mUnservedTargetSlots;
    private final Set<Target> mKnownTargets = new HashSet<>();
    private DeploymentSettings mSettings = DeploymentSettings.EMPTY;
    private List<Endpoint> mEndpoints = List.of();
    private int mDaemons = 1;
    private volatile LimitSnapshot mSnapshot = LimitSnapshot.EMPTY;

    /**
     * Creates a tracker without settings and endpoints.
     *
     * @param unservedTargetSlots the slots of a target that no endpoint serves now
     */
    public LimitTracker(final int unservedTargetSlots) {
        mUnservedTargetSlots = unservedTargetSlots;
    }

    /**
     * Updates the settings.
     *
     * @param settings the current settings
     */
    public synchronized void settingsChanged(final DeploymentSettings settings) {
        mSettings = settings;
        publish();
    }

    /**
     * Updates the endpoints.
     *
     * @param endpoints all known endpoints
     */
    public synchronized void endpointsChanged(final List<Endpoint> endpoints) {
        mEndpoints = List.copyOf(endpoints);
        publish();
    }

    /**
     * Updates the number of live daemons.
     *
     * @param daemons the number with this daemon; less than 1 counts as 1
     */
    public synchronized void daemonsChanged(final int daemons) {
        final int known = Math.max(1, daemons);
        if (known != mDaemons) {
            mDaemons = known;
            publish();
        }
    }

    LimitSnapshot snapshot() {
        return mSnapshot;
    }

    private void publish() {
        final List<Customer> customers = mSettings.customers();
        mSnapshot = new LimitSnapshot(customers, rates(customers), slots(), mDaemons);
    }

    /**
     * Returns the rate of each team; without a budget of its own, the sum of its customers' rates.
     */
    private List<TeamRate> rates(final List<Customer> customers) {
        final Map<TeamId, Long> rates = new TreeMap<>();
        customers.forEach(
                customer -> rates.merge(customer.team(), customer.tokensPerSecond(), Long::sum));
        rates.replaceAll(
                (team, sum) ->
                        mSettings
                                .budget(team)
                                .map(DocumentValue.Budget::tokensPerSecond)
                                .orElse(sum));
        return rates.entrySet().stream()
                .map(entry -> new TeamRate(entry.getKey(), entry.getValue()))
                .toList();
    }

    /**
     * Returns the slots of each target.
     *
     * <p>A target without endpoints has a few slots: with none, requests for a model whose last
     * engine left would wait in the queue and be refused as overload. The few that are admitted
     * make the coordinator look for an endpoint and refuse with "no endpoint".
     */
    private Map<Target, Integer> slots() {
        for (final Endpoint endpoint : mEndpoints) {
            if (endpoint.kind() == EndpointKind.PLAIN_SERVICE) {
                mKnownTargets.add(new Target(endpoint.kind(), endpoint.service()));
            } else {
                endpoint.models()
                        .forEach(
                                model ->
                                        mKnownTargets.add(
                                                new Target(endpoint.kind(), model.toString())));
            }
        }
        final Map<Target, Integer> slots = new HashMap<>();
        for (final Target target : mKnownTargets) {
            final int share = CapacityShare.slots(mEndpoints, target, mDaemons, EVEN_SHARE_FACTOR);
            slots.put(target, share == 0 ? mUnservedTargetSlots : share);
        }
        return slots;
    }
}
