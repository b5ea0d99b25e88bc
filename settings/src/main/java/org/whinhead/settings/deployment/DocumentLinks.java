package org.whinhead.settings.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinhead.settings.KeyHashes;
import org.whinhead.settings.json.JsonPaths;

/**
 * What ties a document to others, read from its texts alone, whatever its kind and schema number.
 *
 * <p>A text that begins with {@code /} is a reference to another document, and a text that begins
 * with {@code sha256:} may stand in one document only. The two rules hold for every schema number,
 * so that programs of different versions decide alike which changes take effect.
 *
 * @param references each reference
 * @param uniqueTexts each text that no other document may hold
 */
record DocumentLinks(List<Link> references, List<Link> uniqueTexts) {

    private static final String REFERENCE_START = "/";

    /** A document without links. */
    static final DocumentLinks NONE = new DocumentLinks(List.of(), List.of());

    /** Copies the lists. */
    DocumentLinks {
        references = List.copyOf(references);
        uniqueTexts = List.copyOf(uniqueTexts);
    }

    /**
     * One text that ties.
     *
     * @param place where it stands, as a JSON path
     * @param text the text
     */
    record Link(String place, String text) {}

    /** Reads the links of a document. */
    static DocumentLinks of(final JsonNode document) {
        final List<Link> texts = new ArrayList<>();
        collect(document, JsonPaths.ROOT, texts);
        return new DocumentLinks(
                texts.stream().filter(link -> link.text().startsWith(REFERENCE_START)).toList(),
                texts.stream().filter(link -> link.text().startsWith(KeyHashes.PREFIX)).toList());
    }

    private static void collect(final JsonNode node, final String place, final List<Link> texts) {
        if (node.isTextual()) {
            texts.add(new Link(place, node.textValue()));
        }
        for (final Map.Entry<String, JsonNode> field : node.properties()) {
            collect(field.getValue(), JsonPaths.field(place, field.getKey()), texts);
        }
        for (int i = 0; node.isArray() && i < node.size(); i++) {
            collect(node.get(i), JsonPaths.element(place, i), texts);
        }
    }

    /** Tells whether the document refers to a path. */
    boolean refersTo(final String path) {
        return references.stream().anyMatch(link -> link.text().equals(path));
    }

    /** Returns the texts that no other document may hold. */
    Set<String> unique() {
        return uniqueTexts.stream().map(Link::text).collect(Collectors.toUnmodifiableSet());
    }
}
