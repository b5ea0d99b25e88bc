package org.whinhead.cli.command;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestTimelineTest {

    private final RequestTimeline mTimeline = new RequestTimeline();

    @BeforeEach
    void read() throws IOException, URISyntaxException {
        for (final String file : List.of("edge-1.log", "fleet.log")) {
            mTimeline.read(Path.of(RequestTimelineTest.class.getResource(file).toURI()));
        }
    }

    private static List<String> texts(final ArrayNode lines, final String field) {
        final List<String> texts = new ArrayList<>();
        for (final JsonNode line : lines) {
            texts.add(line.path(field).asText());
        }
        return texts;
    }

    @Test
    void linesOfAllDaemonsAreOrderedAndPrecededByKnownState() {
        final ArrayNode lines = mTimeline.linesFor("r-1");
        assertThat(texts(lines, "message"))
                .containsExactly(
                        "request refused",
                        "configuration in force",
                        "endpoint changed",
                        "attempt failed",
                        "endpoint changed",
                        "request finished");
        assertThat(texts(lines, "age")).containsExactly("", "1000ms", "500ms", "", "500ms", "");
        assertThat(texts(lines, "daemon")).startsWith("edge-2", "edge-1.log");
        assertThat(lines.get(3).path("fields").asText())
                .isEqualTo("endpoint=e-1 verdict=not-run reason=endpoint refused");
    }

    @Test
    void unknownRequestHasNoLines() {
        assertThat(mTimeline.linesFor("r-9")).isEmpty();
    }
}
