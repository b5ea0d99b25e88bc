package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Converts JSON to table rows. */
final class JsonTable {

    private JsonTable() {}

    /** Converts a list of objects to rows, with the fields as columns and a row of heads. */
    static List<List<String>> columns(final JsonNode list, final List<String> fields) {
        final List<List<String>> rows = new ArrayList<>();
        rows.add(fields.stream().map(field -> field.toUpperCase(Locale.ROOT)).toList());
        for (final JsonNode entry : list) {
            rows.add(fields.stream().map(field -> text(entry.path(field))).toList());
        }
        return rows;
    }

    /** Converts a document to rows of a dotted field name and a value. */
    static List<List<String>> pairs(final JsonNode document) {
        final List<List<String>> rows = new ArrayList<>();
        addPairs("", document, rows);
        return rows;
    }

    private static void addPairs(
            final String name, final JsonNode node, final List<List<String>> rows) {
        if (node.isValueNode() || node.isEmpty()) {
            rows.add(List.of(name, text(node)));
        } else if (node.isArray()) {
            for (int i = 0; i < node.size(); i++) {
                addPairs(name + "[" + i + "]", node.get(i), rows);
            }
        } else {
            for (final Map.Entry<String, JsonNode> field : node.properties()) {
                final String prefix = name.isEmpty() ? "" : name + ".";
                addPairs(prefix + field.getKey(), field.getValue(), rows);
            }
        }
    }

    private static String text(final JsonNode node) {
        if (node.isMissingNode() || node.isNull() || (node.isContainerNode() && node.isEmpty())) {
            return "-";
        }
        return node.isValueNode() ? node.asText() : node.toString();
    }
}
