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
 * Parsed text of a document, decoded as far as this program knows its kind and schema number.
 *
 * <p>The envelope (JSON without duplicate keys, an object, a schema number, links of the right
 * form) has the same rules for every schema number, so all program versions agree on it.
 *
 * @param path the path of the document
 * @param envelopeProblems violations of the rules for the envelope
 * @param schemaProblems violations of the schema with the document's own number
 * @param links its links to other documents
 * @param known whether this program knows the path's kind and the schema number
 * @param value the typed value; empty if the document is not known or invalid
 */
record ParsedDocument(
        DocumentPath path,
        List<SettingsProblem> envelopeProblems,
        List<SettingsProblem> schemaProblems,
        DocumentLinks links,
        boolean known,
        Optional<DocumentValue> value) {

    private static final String SCHEMA_FIELD = "schema";
    private static final String SCHEMA_PATH = "$.schema";

    /** Copies the lists. */
    ParsedDocument {
        envelopeProblems = List.copyOf(envelopeProblems);
        schemaProblems = List.copyOf(schemaProblems);
    }

    /** Parses a document; problems are part of the result. */
    static ParsedDocument parse(final DocumentPath path, final String text) {
        final JsonNode node;
        try {
            node = JsonText.parseAllowingDuplicateKeys(path.text(), text);
        } catch (SettingsException e) {
            return unparsable(path, e.problems());
        }
        final List<SettingsProblem> envelope = new ArrayList<>(JsonText.findDuplicateKeys(text));
        envelope.addAll(checkSchemaNumber(node));
        final DocumentLinks links = DocumentLinks.of(node);
        envelope.addAll(checkReferenceForm(links));
        return parseValue(path, node, envelope, links);
    }

    private static ParsedDocument unparsable(
            final DocumentPath path, final List<SettingsProblem> problems) {
        return new ParsedDocument(
                path, problems, List.of(), DocumentLinks.NONE, true, Optional.empty());
    }

    private static ParsedDocument parseValue(
            final DocumentPath path,
            final JsonNode node,
            final List<SettingsProblem> envelope,
            final DocumentLinks links) {
        final Optional<DocumentKind> kind = DocumentKind.of(path);
        final JsonNode number = node.path(SCHEMA_FIELD);
        final boolean isNumberKnown =
                !isSchemaNumber(number) || number.longValue() <= DocumentKind.NEWEST_SCHEMA_NUMBER;
        if (kind.isEmpty() || !isNumberKnown) {
            return new ParsedDocument(path, envelope, List.of(), links, false, Optional.empty());
        }
        final List<SettingsProblem> violations =
                kind.get().check(node).stream()
                        .filter(problem -> !problem.path().equals(SCHEMA_PATH))
                        .filter(
                                problem ->
                                        node.has(SCHEMA_FIELD) || !isMissingSchemaNumber(problem))
                        .toList();
        final boolean isValid = envelope.isEmpty() && violations.isEmpty();
        return new ParsedDocument(
                path,
                envelope,
                violations,
                links,
                true,
                isValid ? Optional.of(kind.get().decode(path, node)) : Optional.empty());
    }

    /** Returns whether a problem repeats the envelope's report of a missing number. */
    private static boolean isMissingSchemaNumber(final SettingsProblem problem) {
        return problem.equals(
                SettingsProblem.of(JsonPaths.ROOT, "settings.missing-field", SCHEMA_FIELD));
    }

    private static boolean isSchemaNumber(final JsonNode number) {
        return number.isIntegralNumber() && number.canConvertToInt() && number.intValue() >= 1;
    }

    private static List<SettingsProblem> checkSchemaNumber(final JsonNode node) {
        if (!node.isObject()) {
            return List.of(SettingsProblem.of(JsonPaths.ROOT, "settings.not-object"));
        }
        if (!isSchemaNumber(node.path(SCHEMA_FIELD))) {
            return List.of(SettingsProblem.of(SCHEMA_PATH, "settings.no-schema-number"));
        }
        return List.of();
    }

    private static List<SettingsProblem> checkReferenceForm(final DocumentLinks links) {
        return links.references().stream()
                .filter(link -> !DocumentPath.isWellFormed(link.text()))
                .map(
                        link ->
                                SettingsProblem.of(
                                        link.location(), "settings.bad-reference", link.text()))
                .toList();
    }
}
