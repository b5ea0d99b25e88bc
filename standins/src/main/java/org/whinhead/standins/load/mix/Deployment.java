package org.whinhead.standins.load.mix;

import java.util.List;
import java.util.Locale;

/** The example deployments with their workloads; the names match the example settings. */
public enum Deployment {
    /** Small-claims filing: summaries of evidence bundles, questions, status and filings. */
    INKIKO(
            List.of(
                    customer("legal-aid-kigali", "court-deadline", 40),
                    customer("bailiff-offices", "court-deadline", 30),
                    customer("court-clerks", "clerk", 12),
                    customer("cooperatives-union", "clerk", 10),
                    customer("evidence-archive", "evidence-batch", 8)),
            List.of(
                    RequestKind.builder("bundle-summary", CallStyle.STREAMED)
                            .target("filing-drafts@2026.1")
                            .weight(40)
                            .prefixes(24, 600)
                            .promptWords(30)
                            .tokens(48, 96)
                            .build(),
                    RequestKind.builder("question", CallStyle.WHOLE)
                            .target("filing-drafts@2026.1")
                            .weight(25)
                            .promptWords(20)
                            .tokens(8, 24)
                            .build(),
                    RequestKind.builder("filing-status", CallStyle.PLAIN)
                            .target("filing/status")
                            .weight(25)
                            .build(),
                    RequestKind.builder("filing", CallStyle.PLAIN_ONCE)
                            .target("filing/claims")
                            .weight(10)
                            .promptWords(40)
                            .build())),
    /** Food costs: invoices, price advice, stock reconciliation and invoice entries. */
    MEZANI(
            List.of(
                    customer("outlets-nairobi-central", "closing-time", 45),
                    customer("outlets-coast", "closing-time", 25),
                    customer("supplier-deliveries", "delivery-desk", 12),
                    customer("area-auditors", "delivery-desk", 10),
                    customer("stock-counts", "weekly-counts", 8)),
            List.of(
                    RequestKind.builder("invoice-read", CallStyle.STREAMED)
                            .target("cost-desk@2026.1")
                            .weight(35)
                            .prefixes(16, 400)
                            .promptWords(80)
                            .tokens(32, 80)
                            .build(),
                    RequestKind.builder("price-advice", CallStyle.STREAMED)
                            .target("cost-desk@2026.1")
                            .weight(20)
                            .promptWords(60)
                            .tokens(64, 128)
                            .build(),
                    RequestKind.builder("stock-reconciliation", CallStyle.WHOLE)
                            .target("cost-desk@2026.1")
                            .weight(25)
                            .promptWords(120)
                            .tokens(24, 64)
                            .build(),
                    RequestKind.builder("invoice-entry", CallStyle.PLAIN_ONCE)
                            .target("outlet/invoices")
                            .weight(20)
                            .promptWords(25)
                            .build()));

    private final Workload mWorkload;

    Deployment(final List<LoadCustomer> customers, final List<RequestKind> kinds) {
        mWorkload = new Workload(name().toLowerCase(Locale.ROOT), customers, kinds);
    }

    private static LoadCustomer customer(final String name, final String tier, final int weight) {
        return new LoadCustomer(name, "example-key-" + name, tier, weight);
    }

    /** Returns the workload of the deployment. */
    public Workload workload() {
        return mWorkload;
    }

    /**
     * Returns the deployment with the given name.
     *
     * @param name the name in lower case
     * @return the deployment
     * @throws IllegalArgumentException if no deployment has that name
     */
    public static Deployment fromName(final String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }
}
