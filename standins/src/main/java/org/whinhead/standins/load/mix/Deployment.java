package org.whinhead.standins.load.mix;

import java.util.List;
import java.util.Locale;

/** The deployments whose callers can be played. */
public enum Deployment {
    /** Small-claims filing: summaries of evidence bundles, questions, status and filings. */
    INKIKO(
            List.of(
                    new LoadCustomer("bailiffs-gasabo", "inkiko-key-1", "court", 40),
                    new LoadCustomer("legal-aid-kigali", "inkiko-key-2", "clinic", 30),
                    new LoadCustomer("legal-aid-huye", "inkiko-key-3", "clinic", 12),
                    new LoadCustomer("coop-musanze", "inkiko-key-4", "cooperative", 10),
                    new LoadCustomer("coop-rubavu", "inkiko-key-5", "cooperative", 8)),
            List.of(
                    RequestKind.builder("bundle-summary", CallStyle.STREAMED)
                            .target("claims@1")
                            .weight(40)
                            .prefixes(24, 600)
                            .promptWords(30)
                            .tokens(48, 96)
                            .build(),
                    RequestKind.builder("question", CallStyle.WHOLE)
                            .target("claims@1")
                            .weight(25)
                            .promptWords(20)
                            .tokens(8, 24)
                            .build(),
                    RequestKind.builder("filing-status", CallStyle.PLAIN)
                            .target("filings/status")
                            .weight(25)
                            .build(),
                    RequestKind.builder("filing", CallStyle.PLAIN_ONCE)
                            .target("filings/file")
                            .weight(10)
                            .promptWords(40)
                            .build())),
    /** Food costs: invoices, price advice, stock reconciliation and invoice entries. */
    MEZANI(
            List.of(
                    new LoadCustomer("outlets-nairobi", "mezani-key-1", "closing", 45),
                    new LoadCustomer("outlets-mombasa", "mezani-key-2", "closing", 25),
                    new LoadCustomer("area-auditors", "mezani-key-3", "audit", 12),
                    new LoadCustomer("outlets-kisumu", "mezani-key-4", "closing", 10),
                    new LoadCustomer("head-office", "mezani-key-5", "office", 8)),
            List.of(
                    RequestKind.builder("invoice-read", CallStyle.STREAMED)
                            .target("costs@1")
                            .weight(35)
                            .prefixes(16, 400)
                            .promptWords(80)
                            .tokens(32, 80)
                            .build(),
                    RequestKind.builder("price-advice", CallStyle.STREAMED)
                            .target("costs@1")
                            .weight(20)
                            .promptWords(60)
                            .tokens(64, 128)
                            .build(),
                    RequestKind.builder("stock-reconciliation", CallStyle.WHOLE)
                            .target("costs@1")
                            .weight(25)
                            .promptWords(120)
                            .tokens(24, 64)
                            .build(),
                    RequestKind.builder("invoice-entry", CallStyle.PLAIN_ONCE)
                            .target("outlets/invoices")
                            .weight(20)
                            .promptWords(25)
                            .build()));

    private final Mix mMix;

    Deployment(final List<LoadCustomer> customers, final List<RequestKind> kinds) {
        mMix = new Mix(name().toLowerCase(Locale.ROOT), customers, kinds);
    }

    /** Returns who calls and what they ask for. */
    public Mix mix() {
        return mMix;
    }

    /**
     * Finds a deployment by its name in lower case.
     *
     * @param name the name
     * @return the deployment
     * @throws IllegalArgumentException if there is none of that name
     */
    public static Deployment named(final String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }
}
