package org.whinhead.api.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class ModelRefTest {

    @Property(seed = "20261202", tries = 200)
    void parsedTextFormEqualsOriginalReference(
            @ForAll @AlphaChars @StringLength(min = 1, max = 12) final String name,
            @ForAll @AlphaChars @StringLength(min = 1, max = 12) final String version,
            @ForAll @AlphaChars @StringLength(max = 12) final String adapter) {
        final Optional<String> optionalAdapter =
                adapter.isEmpty() ? Optional.empty() : Optional.of(adapter);
        final ModelRef model = new ModelRef(name, version, optionalAdapter);

        assertThat(ModelRef.parse(model.toString())).isEqualTo(model);
    }

    @Test
    void rejectsTextWithoutVersion() {
        assertThatThrownBy(() -> ModelRef.parse("summary"))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("model reference without version: summary");
    }
}
