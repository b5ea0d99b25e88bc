package org.whinhead.settings.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.json.DocumentSchema;

/** Kind of a document, determined by its path. */
public enum DocumentKind {
    /** Budget of a team: {@code /teams/{team}/budget}. */
    BUDGET("/teams/*/budget", "budget", DocumentDecoder::budget),
    /** A customer of a team: {@code /teams/{team}/customers/{customer}}. */
    CUSTOMER("/teams/*/customers/*", "customer", DocumentDecoder::customer),
    /** A service tier: {@code /tiers/{name}}. */
    TIER(
            "/tiers/*",
            "tier",
            DocumentDecoder::tier,
            new FieldOrder("firstTokenMillis", "requestTimeoutMillis"),
            new FieldOrder("betweenTokensMillis", "requestTimeoutMillis")),
    /** A version of a model: {@code /models/{name}/{version}}. */
    MODEL("/models/*/*", "model", DocumentDecoder::model),
    /** A plain service: {@code /services/{name}}. */
    SERVICE("/services/*", "service", DocumentDecoder::service),
    /** A failure domain for VMs: {@code /fleet/domains/{region}/{name}}. */
    DOMAIN("/fleet/domains/*/*", "domain", DocumentDecoder::domain),
    /** A machine class: {@code /fleet/classes/{name}}. */
    MACHINE_CLASS("/fleet/classes/*", "machine-class", DocumentDecoder::machineClass),
    /** A pool of engines that serve the same model: {@code /fleet/pools/{name}}. */
    POOL("/fleet/pools/*", "pool", DocumentDecoder::pool),
    /** Limits on the rate of change of the fleet: {@code /fleet/pace}. */
    PACE("/fleet/pace", "pace", DocumentDecoder::pace),
    /** Parameters of routing: {@code /routing}. */
    ROUTING("/routing", "routing", DocumentDecoder::routing),
    /** Parameters of retries: {@code /retries}. */
    RETRIES(
            "/retries",
            "retries",
            DocumentDecoder::retries,
            new FieldOrder("firstBackoffMillis", "maxBackoffMillis"));

    /** Newest schema number that this program knows; the numbers start at 1. */
    public static final int NEWEST_SCHEMA_NUMBER = 1;

    private static final String WILDCARD = "*";

    private final List<String> mPattern;
    private final DocumentSchema mSchema;
    private final BiFunction<DocumentPath, JsonNode, DocumentValue> mDecoder;
    private final List<FieldOrder> mFieldOrders;

    DocumentKind(
            final String pattern,
            final String schema,
            final BiFunction<DocumentPath, JsonNode, DocumentValue> decoder,
            final FieldOrder... fieldOrders) {
        mPattern = List.of(pattern.substring(1).split("/"));
        mSchema = DocumentSchema.load(schema + "-" + NEWEST_SCHEMA_NUMBER + ".json");
        mDecoder = decoder;
        mFieldOrders = List.of(fieldOrders);
    }

    /**
     * Returns the kind of the document at a path.
     *
     * @param path the path
     * @return the kind, or empty if this program knows none for the path
     */
    public static Optional<DocumentKind> of(final DocumentPath path) {
        return Arrays.stream(values()).filter(kind -> kind.matches(path)).findFirst();
    }

    private boolean matches(final DocumentPath path) {
        final List<String> segments = path.segments();
        if (segments.size() != mPattern.size()) {
            return false;
        }
        for (int i = 0; i < segments.size(); i++) {
            if (!mPattern.get(i).equals(WILDCARD) && !mPattern.get(i).equals(segments.get(i))) {
                return false;
            }
        }
        return true;
    }

    /** Checks a document of a known schema number against this kind's schema and rules. */
    List<SettingsProblem> check(final JsonNode document) {
        final List<SettingsProblem> problems = new ArrayList<>(mSchema.check(document));
        mFieldOrders.forEach(order -> problems.addAll(order.check(document)));
        return problems;
    }

    /** Decodes a document that has passed {@link #check}. */
    DocumentValue decode(final DocumentPath path, final JsonNode document) {
        return mDecoder.apply(path, document);
    }
}
