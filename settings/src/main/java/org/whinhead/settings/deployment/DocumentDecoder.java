package org.whinhead.settings.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.model.Tier;
import org.whinhead.settings.KeyHashes;

/** Decodes documents that match their schema into typed values. */
final class DocumentDecoder {

    private static final int TEAM_SEGMENT = 1;
    private static final int REGION_SEGMENT = 2;

    private DocumentDecoder() {}

    static DocumentValue budget(final DocumentPath path, final JsonNode node) {
        final List<FailureDomain> domains = new ArrayList<>();
        node.get("domains").forEach(domain -> domains.add(failureDomain(domain)));
        return new DocumentValue.Budget(
                new TeamId(path.segment(TEAM_SEGMENT)),
                node.get("tokensPerSecond").longValue(),
                domains,
                node.get("costPerHour").decimalValue());
    }

    static DocumentValue customer(final DocumentPath path, final JsonNode node) {
        final List<String> keyHashes = new ArrayList<>();
        node.get("keyHashes")
                .forEach(hash -> keyHashes.add(KeyHashes.stripPrefix(hash.textValue())));
        return new DocumentValue.CustomerEntry(
                new CustomerId(path.name()),
                new TeamId(path.segment(TEAM_SEGMENT)),
                DocumentPath.parse(node.get("tier").textValue()),
                keyHashes,
                node.get("weight").intValue(),
                node.get("tokensPerSecond").longValue());
    }

    static DocumentValue tier(final DocumentPath path, final JsonNode node) {
        final Tier tier =
                new Tier(
                        path.name(),
                        node.get("priority").intValue(),
                        millis(node, "firstTokenMillis"),
                        millis(node, "betweenTokensMillis"),
                        millis(node, "requestTimeoutMillis"));
        final JsonNode objectives = node.get("objectives");
        return new DocumentValue.TierEntry(
                tier,
                objectives.get("latencyShare").doubleValue(),
                objectives.get("availabilityShare").doubleValue(),
                Duration.ofHours(objectives.get("windowHours").longValue()));
    }

    static DocumentValue model(final DocumentPath path, final JsonNode node) {
        final List<String> adapters = new ArrayList<>();
        node.get("adapters").forEach(adapter -> adapters.add(adapter.textValue()));
        return new DocumentValue.ModelEntry(
                ModelRef.of(path.segment(1), path.name()),
                node.get("weightsBytes").longValue(),
                adapters,
                node.get("contextTokens").intValue(),
                node.get("targetShare").doubleValue());
    }

    static DocumentValue service(final DocumentPath path, final JsonNode node) {
        final List<String> nonIdempotent = new ArrayList<>();
        node.get("nonIdempotentPaths").forEach(entry -> nonIdempotent.add(entry.textValue()));
        final Map<String, Duration> timeouts = new HashMap<>();
        for (final Map.Entry<String, JsonNode> entry :
                node.path("pathTimeoutMillis").properties()) {
            timeouts.put(entry.getKey(), Duration.ofMillis(entry.getValue().longValue()));
        }
        return new DocumentValue.ServiceEntry(
                path.name(), millis(node, "timeoutMillis"), timeouts, nonIdempotent);
    }

    static DocumentValue domain(final DocumentPath path, final JsonNode node) {
        final Map<String, Integer> minimum = new HashMap<>();
        node.get("minimum")
                .forEach(
                        entry ->
                                minimum.put(referencedName(entry, "machineClass"), vmCount(entry)));
        return new DocumentValue.DomainEntry(
                new FailureDomain(path.segment(REGION_SEGMENT), path.name()), minimum);
    }

    static DocumentValue machineClass(final DocumentPath path, final JsonNode node) {
        return new DocumentValue.MachineClassEntry(
                path.name(), node.get("role").textValue(), node.get("slots").intValue());
    }

    static DocumentValue pool(final DocumentPath path, final JsonNode node) {
        final List<DocumentValue.SupplyEntry> supplies = new ArrayList<>();
        node.get("supplies").forEach(entry -> supplies.add(supply(entry)));
        return new DocumentValue.PoolEntry(
                path.name(),
                DocumentPath.parse(node.get("model").textValue()),
                Optional.ofNullable(node.path("adapter").textValue()),
                node.get("needed").intValue(),
                supplies);
    }

    static DocumentValue pace(final DocumentPath path, final JsonNode node) {
        return new DocumentValue.PaceEntry(
                millis(node, "firstRestMillis"),
                node.get("weightBytesPerSecond").longValue(),
                node.get("mostInTransition").intValue(),
                node.get("mostStartsPerRound").intValue());
    }

    static DocumentValue routing(final DocumentPath path, final JsonNode node) {
        final JsonNode costs = node.get("costs");
        return new DocumentValue.RoutingEntry(
                node.get("strategy").textValue(),
                new DocumentValue.RoutingCosts(
                        costs.get("otherDomainMillis").doubleValue(),
                        costs.get("otherRegionMillis").doubleValue(),
                        costs.get("onDemandMillis").doubleValue(),
                        costs.get("fullBatchMillis").doubleValue(),
                        costs.get("queuedMillis").doubleValue(),
                        costs.get("prefillMicrosPerToken").doubleValue(),
                        costs.get("loadFactor").doubleValue()),
                node.get("failuresToSuspect").intValue(),
                millis(node, "cooldownMillis"),
                millis(node, "probeTimeoutMillis"));
    }

    static DocumentValue retries(final DocumentPath path, final JsonNode node) {
        return new DocumentValue.RetriesEntry(
                node.get("maxDispatches").intValue(),
                millis(node, "firstBackoffMillis"),
                millis(node, "maxBackoffMillis"),
                node.get("retryShare").doubleValue(),
                node.get("retryBurst").intValue(),
                millis(node, "patienceMillis"));
    }

    private static DocumentValue.SupplyEntry supply(final JsonNode node) {
        return new DocumentValue.SupplyEntry(
                failureDomain(node.get("domain")),
                referencedName(node, "machineClass"),
                Billing.valueOf(
                        node.get("billing")
                                .textValue()
                                .toUpperCase(Locale.ROOT)
                                .replace('-', '_')));
    }

    private static FailureDomain failureDomain(final JsonNode node) {
        final DocumentPath path = DocumentPath.parse(node.textValue());
        return new FailureDomain(path.segment(REGION_SEGMENT), path.name());
    }

    private static String referencedName(final JsonNode node, final String field) {
        return DocumentPath.parse(node.get(field).textValue()).name();
    }

    private static int vmCount(final JsonNode node) {
        return node.get("vms").intValue();
    }

    private static Duration millis(final JsonNode node, final String field) {
        return Duration.ofMillis(node.get(field).longValue());
    }
}
