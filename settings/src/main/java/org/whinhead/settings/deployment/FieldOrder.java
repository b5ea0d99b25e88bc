package org.whinhead.settings.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.json.JsonPaths;

/**
 * A rule that a schema cannot express: one time of a document is at most another one.
 *
 * @param smaller the field with the shorter time
 * @param larger the field with the longer time
 */
record FieldOrder(String smaller, String larger) {

    /** Checks a document; a field that is missing or no number is passed over. */
    List<SettingsProblem> check(final JsonNode document) {
        final JsonNode shorter = document.path(smaller);
        final JsonNode longer = document.path(larger);
        if (shorter.isNumber()
                && longer.isNumber()
                && shorter.decimalValue().compareTo(longer.decimalValue()) > 0) {
            final String place = JsonPaths.field(JsonPaths.ROOT, smaller);
            return List.of(SettingsProblem.of(place, "settings.above-field", shorter, larger));
        }
        return List.of();
    }
}
