package org.whinhead.settings.json;

import com.fasterxml.jackson.databind.JsonNode;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.whinhead.settings.SettingsProblem;

/**
 * Finds numbers outside the range of integers that a double represents exactly.
 *
 * <p>The schema validator narrows a number such as {@code 18446744073709551621.0} to a long and
 * accepts it as 5. Therefore numbers of 2^53 or more in magnitude are rejected separately.
 */
final class NumberRange {

    private static final BigDecimal MAX_EXACT_INTEGER = BigDecimal.valueOf((1L << 53) - 1);

    private NumberRange() {}

    /**
     * Checks all numbers of a document.
     *
     * @param document the document
     * @return one problem for each number out of range
     */
    static List<SettingsProblem> check(final JsonNode document) {
        final List<SettingsProblem> problems = new ArrayList<>();
        collectProblems(document, JsonPaths.ROOT, problems);
        return problems;
    }

    private static void collectProblems(
            final JsonNode node, final String path, final List<SettingsProblem> problems) {
        if (node.isNumber() && node.decimalValue().abs().compareTo(MAX_EXACT_INTEGER) > 0) {
            problems.add(
                    SettingsProblem.of(
                            path, "settings.number-out-of-range", node, MAX_EXACT_INTEGER));
        }
        for (final Map.Entry<String, JsonNode> field : node.properties()) {
            collectProblems(field.getValue(), JsonPaths.field(path, field.getKey()), problems);
        }
        for (int i = 0; node.isArray() && i < node.size(); i++) {
            collectProblems(node.get(i), JsonPaths.element(path, i), problems);
        }
    }
}
