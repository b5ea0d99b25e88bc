package org.whinhead.settings.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.json.JsonPaths;

/**
 * Rule that one duration in a document is at most another one; a schema cannot express it.
 *
 * @param smaller the name of the field with the shorter duration
 * @param larger the name of the field with the longer duration
 */
record FieldOrder(String smaller, String larger) {

    /** Checks a document; a field that is missing or not a number is skipped. */
    List<SettingsProblem> check(final JsonNode document) {
        final JsonNode shorter = document.path(smaller);
        final JsonNode longer = document.path(larger);
        if (shorter.isNumber()
                && longer.isNumber()
                && shorter.decimalValue().compareTo(longer.decimalValue()) > 0) {
            final String path = JsonPaths.field(JsonPaths.ROOT, smaller);
            return List.of(SettingsProblem.of(path, "settings.above-field", shorter, larger));
        }
        return List.of();
    }
}
