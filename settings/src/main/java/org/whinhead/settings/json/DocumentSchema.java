package org.whinhead.settings.json;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.path.NodePath;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.whinhead.settings.SettingsProblem;

/** JSON Schema bundled with the program, which reports violations as settings problems. */
public final class DocumentSchema {

    private static final String SCHEMA_FOLDER = "/org/whinhead/settings/schema/";
    private static final SchemaRegistry REGISTRY =
            SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);

    private final Schema mSchema;

    private DocumentSchema(final Schema schema) {
        mSchema = schema;
    }

    /**
     * Loads a schema bundled with the program.
     *
     * @param name the file's name, for example {@code daemon-1.json}
     * @return the schema
     * @throws IllegalArgumentException if there is no such file
     */
    public static DocumentSchema load(final String name) {
        try (InputStream stream = DocumentSchema.class.getResourceAsStream(SCHEMA_FOLDER + name)) {
            if (stream == null) {
                throw new IllegalArgumentException("no schema file: " + name);
            }
            final String text = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return new DocumentSchema(REGISTRY.getSchema(text, InputFormat.JSON));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Validates a document.
     *
     * @param document the document
     * @return every problem, in a fixed order; empty if the document is valid
     */
    public List<SettingsProblem> check(final JsonNode document) {
        final List<SettingsProblem> rangeProblems = NumberRange.check(document);
        final Set<String> reportedPaths =
                rangeProblems.stream().map(SettingsProblem::path).collect(Collectors.toSet());
        final Stream<SettingsProblem> schemaProblems =
                mSchema.validate(document).stream()
                        .map(this::toProblem)
                        .filter(problem -> !reportedPaths.contains(problem.path()));
        return Stream.concat(rangeProblems.stream(), schemaProblems).sorted().distinct().toList();
    }

    private SettingsProblem toProblem(final Error error) {
        return SchemaKeyword.of(error.getKeyword()).toProblem(jsonPath(error), error, title(error));
    }

    private String title(final Error error) {
        final String keywordPointer = error.getSchemaLocation().getFragment().toString();
        final JsonPointer parent = JsonPointer.compile(keywordPointer).head();
        return mSchema.getSchemaNode().at(parent).path("title").asText();
    }

    private static String jsonPath(final Error error) {
        final NodePath location = error.getInstanceLocation();
        String path = JsonPaths.ROOT;
        for (int i = 0; i < location.getNameCount(); i++) {
            path = append(path, location.getElement(i));
        }
        return path;
    }

    private static String append(final String path, final Object element) {
        if (element instanceof Integer index) {
            return JsonPaths.element(path, index);
        }
        return JsonPaths.field(path, String.valueOf(element));
    }
}
