package org.whinhead.settings.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.json.JsonPaths;

/** Checks rules of a daemon's settings that a schema cannot express. */
final class DaemonSettingsRules {

    private static final String HTTP_SCHEMES = "https?";
    private static final int MAX_PORT = 65535;
    private static final List<String> LISTENERS = List.of("callers", "operators", "peers");
    private static final List<String> PLATFORM_SERVICES = List.of("log", "vms", "cloud", "weights");

    private final List<SettingsProblem> mProblems = new ArrayList<>();

    private DaemonSettingsRules() {}

    /**
     * Checks a document, which may violate the schema. Values of a wrong type are skipped, because
     * the schema reports them.
     *
     * @param document the document
     * @return every problem
     */
    static List<SettingsProblem> check(final JsonNode document) {
        final DaemonSettingsRules rules = new DaemonSettingsRules();
        rules.checkUri("$.publicUri", document.path("publicUri"));
        for (final String service : PLATFORM_SERVICES) {
            rules.checkUri("$.platform." + service, document.path("platform").path(service));
        }
        rules.checkListeners(document.path("listen"));
        rules.checkSeeds(document.path("seeds"));
        rules.checkRingSize(document.path("limits").path("ringSize"));
        rules.checkOperatorNames(document.path("operators"));
        return rules.mProblems;
    }

    private void addProblem(final String path, final String messageKey, final Object... arguments) {
        mProblems.add(SettingsProblem.of(path, messageKey, arguments));
    }

    private void checkUri(final String path, final JsonNode node) {
        if (node.isTextual() && !isHttpUri(node.textValue())) {
            addProblem(path, "settings.not-uri", node.textValue());
        }
    }

    private static boolean isHttpUri(final String text) {
        try {
            final URI uri = URI.create(text);
            return uri.getScheme() != null
                    && uri.getScheme().matches(HTTP_SCHEMES)
                    && uri.getHost() != null;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private void checkListeners(final JsonNode listen) {
        final Set<String> seen = new HashSet<>();
        for (final String listener : LISTENERS) {
            final JsonNode node = listen.path(listener);
            final String path = JsonPaths.field("$.listen", listener);
            checkPort(path, node);
            if (node.isTextual()
                    && !node.textValue().endsWith(":0")
                    && !seen.add(node.textValue())) {
                addProblem(path, "settings.repeated-address", node.textValue());
            }
        }
    }

    private void checkSeeds(final JsonNode seeds) {
        for (int i = 0; i < seeds.size(); i++) {
            checkPort(JsonPaths.element("$.seeds", i), seeds.get(i));
        }
    }

    private void checkPort(final String path, final JsonNode node) {
        final String port = node.asText().substring(node.asText().lastIndexOf(':') + 1);
        if (port.matches("[0-9]{1,5}") && Integer.parseInt(port) > MAX_PORT) {
            addProblem(path, "settings.too-large", port, MAX_PORT);
        }
    }

    private void checkRingSize(final JsonNode ringSize) {
        if (ringSize.isIntegralNumber() && Long.bitCount(ringSize.longValue()) != 1) {
            addProblem("$.limits.ringSize", "settings.not-power-of-two", ringSize);
        }
    }

    private void checkOperatorNames(final JsonNode operators) {
        final Set<String> seen = new HashSet<>();
        for (int i = 0; i < operators.size(); i++) {
            final JsonNode name = operators.get(i).path("name");
            if (name.isTextual() && !seen.add(name.textValue())) {
                final String path = JsonPaths.element("$.operators", i) + ".name";
                addProblem(path, "settings.repeated-name", name.textValue());
            }
        }
    }
}
