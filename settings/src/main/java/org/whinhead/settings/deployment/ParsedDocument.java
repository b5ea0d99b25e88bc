package org.whinhead.settings.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinhead.settings.SettingsException;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.json.JsonPaths;
import org.whinhead.settings.json.JsonText;

/**
 * A document's text, taken apart as far as this program can.
 *
 * <p>The envelope (JSON without duplicate keys, an object, a schema number, links of the right
 * form) is the same for every schema number, so every version of the program judges it alike.
 *
 * @param path where the document stands
 * @param envelopeProblems what is wrong whatever the schema number
 * @param schemaProblems what is wrong by the schema of the document's own number
 * @param links its ties to other documents
 * @param known whether this program knows the path's kind and the schema number
 * @param value the typed value; empty if not known or wrong
 */
record ParsedDocument(
        DocumentPath path,
        List<SettingsProblem> envelopeProblems,
        List<SettingsProblem> schemaProblems,
        DocumentLinks links,
        boolean known,
        Optional<DocumentValue> value) {

    private static final String SCHEMA = "schema";
    private static final String SCHEMA_PLACE = "$.schema";

    /** Copies the lists. */
    ParsedDocument {
        envelopeProblems = List.copyOf(envelopeProblems);
        schemaProblems = List.copyOf(schemaProblems);
    }

    /** Takes a document apart; never fails. */
    static ParsedDocument parse(final DocumentPath path, final String text) {
        final JsonNode node;
        try {
            node = JsonText.parseAllowingDuplicateKeys(path.text(), text);
        } catch (SettingsException e) {
            return broken(path, e.problems());
        }
        final List<SettingsProblem> envelope = new ArrayList<>(JsonText.findDuplicateKeys(text));
        envelope.addAll(checkSchemaNumber(node));
        final DocumentLinks links = DocumentLinks.of(node);
        envelope.addAll(checkReferences(links));
        return typed(path, node, envelope, links);
    }

    private static ParsedDocument broken(
            final DocumentPath path, final List<SettingsProblem> problems) {
        return new ParsedDocument(
                path, problems, List.of(), DocumentLinks.NONE, true, Optional.empty());
    }

    private static ParsedDocument typed(
            final DocumentPath path,
            final JsonNode node,
            final List<SettingsProblem> envelope,
            final DocumentLinks links) {
        final Optional<DocumentKind> kind = DocumentKind.of(path);
        final JsonNode number = node.path(SCHEMA);
        final boolean numberKnown =
                !isSchemaNumber(number) || number.longValue() <= DocumentKind.NEWEST_SCHEMA_NUMBER;
        if (kind.isEmpty() || !numberKnown) {
            return new ParsedDocument(path, envelope, List.of(), links, false, Optional.empty());
        }
        final List<SettingsProblem> wrong =
                kind.get().check(node).stream()
                        .filter(problem -> !problem.path().equals(SCHEMA_PLACE))
                        .filter(problem -> node.has(SCHEMA) || !missesSchema(problem))
                        .toList();
        final boolean whole = envelope.isEmpty() && wrong.isEmpty();
        return new ParsedDocument(
                path,
                envelope,
                wrong,
                links,
                true,
                whole ? Optional.of(kind.get().decode(path, node)) : Optional.empty());
    }

    /** The envelope's check reports a missing number, so the schema's report of it is dropped. */
    private static boolean missesSchema(final SettingsProblem problem) {
        return problem.equals(SettingsProblem.of(JsonPaths.ROOT, "settings.missing-field", SCHEMA));
    }

    private static boolean isSchemaNumber(final JsonNode number) {
        return number.isIntegralNumber() && number.canConvertToInt() && number.intValue() >= 1;
    }

    private static List<SettingsProblem> checkSchemaNumber(final JsonNode node) {
        if (!node.isObject()) {
            return List.of(SettingsProblem.of(JsonPaths.ROOT, "settings.not-object"));
        }
        if (!isSchemaNumber(node.path(SCHEMA))) {
            return List.of(SettingsProblem.of(SCHEMA_PLACE, "settings.no-schema-number"));
        }
        return List.of();
    }

    private static List<SettingsProblem> checkReferences(final DocumentLinks links) {
        return links.references().stream()
                .filter(link -> !DocumentPath.isWellFormed(link.text()))
                .map(
                        link ->
                                SettingsProblem.of(
                                        link.location(), "settings.bad-reference", link.text()))
                .toList();
    }
}
