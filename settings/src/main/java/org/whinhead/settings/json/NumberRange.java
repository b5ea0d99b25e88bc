package org.whinhead.settings.json;

import com.fasterxml.jackson.databind.JsonNode;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.whinhead.settings.SettingsProblem;

/**
 * Finds numbers that no program reads exactly.
 *
 * <p>Guards against a number such as {@code 18446744073709551621.0}, which the schema validator
 * narrows to a long, so that it passes for 5. Numbers beyond 2^53 are refused before that.
 */
final class NumberRange {

    private static final BigDecimal LARGEST = BigDecimal.valueOf((1L << 53) - 1);

    private NumberRange() {}

    /**
     * Looks through a document.
     *
     * @param document the document
     * @return one problem for each number out of range
     */
    static List<SettingsProblem> check(final JsonNode document) {
        final List<SettingsProblem> problems = new ArrayList<>();
        walk(document, JsonPaths.ROOT, problems);
        return problems;
    }

    private static void walk(
            final JsonNode node, final String path, final List<SettingsProblem> problems) {
        if (node.isNumber() && node.decimalValue().abs().compareTo(LARGEST) > 0) {
            problems.add(SettingsProblem.of(path, "settings.number-out-of-range", node, LARGEST));
        }
        for (final Map.Entry<String, JsonNode> field : node.properties()) {
            walk(field.getValue(), JsonPaths.field(path, field.getKey()), problems);
        }
        for (int i = 0; node.isArray() && i < node.size(); i++) {
            walk(node.get(i), JsonPaths.element(path, i), problems);
        }
    }
}
