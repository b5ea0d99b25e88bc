package org.whinhead.demo;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.daemon.Daemon;
import org.whinhead.daemon.view.DeploymentView;
import org.whinhead.daemon.view.ServiceRules;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.standins.deployment.DeploymentPlan;
import org.whinhead.standins.deployment.DeploymentStandIns;

/** Tells daemons what they do not find out by themselves yet: settings and endpoints. */
final class PushedFacts {

    private final DeploymentPlan mPlan;
    private final DeploymentStandIns mStandIns;
    private final Supplier<List<Daemon>> mDaemons;

    PushedFacts(
            final DeploymentPlan plan,
            final DeploymentStandIns standIns,
            final Supplier<List<Daemon>> daemons) {
        mPlan = plan;
        mStandIns = standIns;
        mDaemons = daemons;
    }

    /** Puts settings in force. */
    void settings(final DeploymentSettings settings) {
        final Map<String, ModelRef> models = new HashMap<>();
        settings.models().forEach(entry -> models.put(entry.model().toString(), entry.model()));
        final Map<String, ServiceRules> services = new HashMap<>();
        settings.services()
                .forEach(
                        entry ->
                                services.put(
                                        entry.name(),
                                        new ServiceRules(
                                                entry.name(),
                                                entry.nonIdempotentPaths().stream()
                                                        .map(path -> '/' + path)
                                                        .toList())));
        final DeploymentView view = new DeploymentView(settings.customers(), models, services);
        mDaemons.get().forEach(daemon -> daemon.viewChanged(view));
    }

    /**
     * Tells which endpoints there are.
     *
     * @param leaving the failure domains that are about to go
     */
    void endpoints(final Set<FailureDomain> leaving) {
        final List<Endpoint> endpoints = new ArrayList<>();
        mStandIns.engines().forEach((vm, engine) -> endpoints.add(engine(vm, engine.uri())));
        mStandIns.services().forEach((vm, service) -> endpoints.add(service(vm, service.uri())));
        final List<Endpoint> now = endpoints.stream().map(one -> with(one, leaving)).toList();
        mDaemons.get().forEach(daemon -> daemon.endpointsChanged(now));
    }

    private static Endpoint with(final Endpoint endpoint, final Set<FailureDomain> leaving) {
        return leaving.contains(endpoint.vm().domain())
                ? endpoint.withVmState(VmState.LEAVING)
                : endpoint;
    }

    private Endpoint engine(final String vm, final URI uri) {
        return Endpoint.engine(new EndpointId(vm))
                .vm(vm(vm, DeploymentPlan.ENGINE_CLASS))
                .uri(uri)
                .models(Set.of(ModelRef.parse(mPlan.model())))
                .slots(8)
                .build();
    }

    private Endpoint service(final String vm, final URI uri) {
        return Endpoint.plainService(new EndpointId(vm), mPlan.service())
                .vm(vm(vm, DeploymentPlan.SERVICE_CLASS))
                .uri(uri)
                .slots(32)
                .build();
    }

    private Vm vm(final String id, final String machineClass) {
        final int number = Integer.parseInt(id.substring(id.lastIndexOf('-') + 1));
        final List<FailureDomain> domains = mPlan.domains();
        return new Vm(
                new VmId(id),
                "127.0.0.1",
                domains.get((number - 1) % domains.size()),
                machineClass,
                Billing.RECLAIMABLE,
                VmState.LIVE);
    }
}
