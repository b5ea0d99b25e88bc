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
 * Collects what admission depends on from the duties that learn it, and holds the latest as one
 * value; told from any thread, read from the decision thread.
 */
public final class LimitTracker {

    /**
     * How far above the even share of an endpoint's slots one daemon may go: callers come unevenly
     * to the daemons, and the endpoints queue what is too much at once.
     */
    private static final double EVEN_SHARE_FACTOR = 1.5;

    private final int mUnservedTargetSlots;
    private final Set<Target> mKnownTargets = new HashSet<>();
    private DeploymentSettings mSettings = DeploymentSettings.EMPTY;
    private List<Endpoint> mEndpoints = List.of();
    private int mDaemons = 1;
    private volatile LimitSnapshot mSnapshot = LimitSnapshot.EMPTY;

    /**
     * Makes a board on which nothing is known.
     *
     * @param startSlots the slots of a target that no endpoint serves now
     */
    public LimitTracker(final int startSlots) {
        mUnservedTargetSlots = startSlots;
    }

    /**
     * Takes the settings in force.
     *
     * @param settings the settings
     */
    public synchronized void settingsChanged(final DeploymentSettings settings) {
        mSettings = settings;
        publish();
    }

    /**
     * Takes the endpoints that are known.
     *
     * @param endpoints all of them
     */
    public synchronized void endpointsChanged(final List<Endpoint> endpoints) {
        mEndpoints = List.copyOf(endpoints);
        publish();
    }

    /**
     * Takes the number of live daemons.
     *
     * @param daemons how many, this one among them; less than 1 counts as 1
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

    /** A team without a budget of its own may spend what its customers may spend together. */
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
     * Works out the slots of each target.
     *
     * <p>Guards against a wrong reason: with no slot at all, requests for a model whose last engine
     * left would wait in the queue and be told of overload. A few are let through, so that the
     * coordinator looks for an endpoint and says that there is none.
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
