package org.whinhead.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class SettingsPageTest {

    private static final Path PAGE = Path.of("../docs/SETTINGS.md");
    private static final Path SCHEMAS = Path.of("src/main/resources/org/whinhead/settings/schema");

    static List<Path> schemas() throws IOException {
        try (Stream<Path> files = Files.list(SCHEMAS)) {
            return files.sorted().toList();
        }
    }

    // Guards against a field that was added to a schema but is missing on the settings page.
    @ParameterizedTest
    @MethodSource("schemas")
    void pageNamesEveryField(final Path schema) throws IOException {
        final JsonNode root = new ObjectMapper().readTree(schema.toFile());
        assertFields("", root, Files.readString(PAGE));
    }

    private static void assertFields(final String prefix, final JsonNode node, final String page) {
        node.path("properties")
                .properties()
                .forEach(
                        field -> {
                            final JsonNode value = field.getValue();
                            final String name = prefix + field.getKey();
                            if (!value.has("properties")) {
                                assertThat(page).contains("`" + name + "`");
                            }
                            assertFields(name + ".", value, page);
                            assertFields(name + "[].", value.path("items"), page);
                        });
    }
}
