package org.whinhead.settings.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.VmId;
import org.whinhead.settings.KeyHashes;

/** Decodes a valid settings document into typed settings. */
final class DaemonSettingsDecoder {

    private DaemonSettingsDecoder() {}

    /**
     * Decodes a document.
     *
     * @param document the document, already validated
     * @return the settings
     */
    static DaemonSettings decode(final JsonNode document) {
        final JsonNode domain = document.get("domain");
        final DaemonSettings.Builder builder =
                DaemonSettings.builder(text(document, "name"))
                        .vm(new VmId(text(document, "vm")))
                        .domain(new FailureDomain(text(domain, "region"), text(domain, "name")))
                        .listen(listen(document.get("listen")))
                        .publicUri(uri(document, "publicUri"))
                        .platform(platform(document.get("platform")))
                        .seeds(seeds(document.path("seeds")))
                        .tls(tls(document.path("tls")))
                        .limits(limits(document.path("limits")))
                        .operators(operators(document.get("operators")));
        if (document.has("gracefulStopMillis")) {
            builder.gracefulStop(Duration.ofMillis(document.get("gracefulStopMillis").longValue()));
        }
        return builder.build();
    }

    private static String text(final JsonNode node, final String field) {
        return node.get(field).textValue();
    }

    private static URI uri(final JsonNode node, final String field) {
        return URI.create(text(node, field));
    }

    private static HostPort address(final JsonNode node, final String field) {
        return HostPort.parse(text(node, field));
    }

    private static ListenAddresses listen(final JsonNode node) {
        return new ListenAddresses(
                address(node, "callers"), address(node, "operators"), address(node, "peers"));
    }

    private static PlatformUris platform(final JsonNode node) {
        return new PlatformUris(
                uri(node, "log"), uri(node, "vms"), uri(node, "cloud"), uri(node, "weights"));
    }

    private static List<HostPort> seeds(final JsonNode node) {
        final List<HostPort> seeds = new ArrayList<>();
        node.forEach(seed -> seeds.add(HostPort.parse(seed.textValue())));
        return seeds;
    }

    private static Optional<TlsFiles> tls(final JsonNode node) {
        if (node.isMissingNode()) {
            return Optional.empty();
        }
        return Optional.of(
                new TlsFiles(
                        Path.of(text(node, "certificate")),
                        Path.of(text(node, "key")),
                        Path.of(text(node, "trust"))));
    }

    private static DaemonLimits limits(final JsonNode node) {
        final DaemonLimits defaults = DaemonLimits.DEFAULT;
        return new DaemonLimits(
                node.path("maxBodyBytes").asLong(defaults.maxBodyBytes()),
                node.path("ringSize").asInt(defaults.ringSize()),
                node.path("maxInProgress").asInt(defaults.maxInProgress()));
    }

    private static List<OperatorKey> operators(final JsonNode node) {
        final List<OperatorKey> operators = new ArrayList<>();
        node.forEach(
                operator ->
                        operators.add(
                                new OperatorKey(
                                        text(operator, "name"),
                                        KeyHashes.stripPrefix(text(operator, "keyHash")),
                                        text(operator, "subtree"))));
        return operators;
    }
}
