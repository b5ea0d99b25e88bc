package org.whinhead.standins.deployment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.standins.cloud.Price;

/** The failure domains, model, service and prices of the two simulated deployments. */
public enum DeploymentPlan {
    /** The deployment for small-claims filing in Kigali. */
    INKIKO(
            9000,
            "kigali",
            "filing-drafts@2026.1",
            "filing",
            "kg-gasabo",
            "kg-kicukiro",
            "kg-nyarugenge"),
    /** The deployment for food costs in Nairobi. */
    MEZANI(
            9100,
            "nairobi",
            "cost-desk@2026.1",
            "outlet",
            "upperhill",
            "westlands",
            "industrial-area");

    /** The machine class of model engines. */
    public static final String ENGINE_CLASS = "engine-small";

    /** The machine class of plain services. */
    public static final String SERVICE_CLASS = "service-small";

    /** The machine class of the VMs that run daemons. */
    public static final String ENTRY_CLASS = "entry-small";

    /** The number of engines in each failure domain. */
    public static final int ENGINES_PER_DOMAIN = 2;

    private static final double[] DOMAIN_FACTORS = {1.0, 0.9, 1.15};
    private static final double ENGINE_PRICE = 0.60;
    private static final double SERVICE_PRICE = 0.05;
    private static final double ENTRY_PRICE = 0.03;
    private static final double ON_DEMAND_FACTOR = 3;

    private final List<FailureDomain> mDomains = new ArrayList<>();
    private final int mPorts;
    private final String mModel;
    private final String mService;

    DeploymentPlan(
            final int ports,
            final String region,
            final String model,
            final String service,
            final String... domains) {
        for (final String domain : domains) {
            mDomains.add(new FailureDomain(region, domain));
        }
        mPorts = ports;
        mModel = model;
        mService = service;
    }

    /** Returns the default first port of {@code bin/standins}. */
    public int ports() {
        return mPorts;
    }

    /** Returns the failure domains. */
    public List<FailureDomain> domains() {
        return List.copyOf(mDomains);
    }

    /** Returns the model that engines load initially, as {@code name@version}. */
    public String model() {
        return mModel;
    }

    /** Returns the name of the plain service. */
    public String service() {
        return mService;
    }

    /** Returns the name used on command lines. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the hourly price of each machine class, by failure domain and billing. */
    public List<Price> prices() {
        final List<Price> prices = new ArrayList<>();
        for (int index = 0; index < mDomains.size(); index++) {
            add(prices, index, ENGINE_CLASS, ENGINE_PRICE);
            add(prices, index, SERVICE_CLASS, SERVICE_PRICE);
            add(prices, index, ENTRY_CLASS, ENTRY_PRICE);
        }
        return prices;
    }

    private void add(
            final List<Price> prices,
            final int index,
            final String machineClass,
            final double price) {
        final FailureDomain domain = mDomains.get(index);
        final double domainPrice = price * DOMAIN_FACTORS[index];
        prices.add(new Price(domain, machineClass, Billing.RECLAIMABLE, domainPrice));
        prices.add(
                new Price(domain, machineClass, Billing.ON_DEMAND, domainPrice * ON_DEMAND_FACTOR));
    }
}
