package org.whinhead.settings.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.settings.SettingsException;

final class SettingsReaderTest {

    private static final Path FOLDER = Path.of("src/test/resources/daemon");

    @Test
    void readsEveryField() throws SettingsException {
        final DaemonSettings settings = SettingsReader.read(FOLDER.resolve("whole.json"));
        assertThat(settings.domain()).isEqualTo(new FailureDomain("kigali", "kg-gasabo"));
        assertThat(settings.listen().peers()).isEqualTo(new HostPort("::1", 8082));
        assertThat(settings.listen().peers()).hasToString("[::1]:8082");
        assertThat(settings.tls().map(TlsFiles::trust))
                .contains(Path.of("/etc/whinhead/trust.pem"));
        assertThat(settings.limits()).isEqualTo(new DaemonLimits(8L << 20, 1024, 2048));
        assertThat(settings.gracefulStop()).isEqualTo(Duration.ofSeconds(15));
    }

    @Test
    void keyCanChangeOnlyItsSubtree() throws SettingsException {
        final DaemonSettings settings = SettingsReader.read(FOLDER.resolve("whole.json"));
        final Optional<OperatorKey> operator = settings.operator("secret");
        assertThat(operator.map(OperatorKey::name)).contains("on-call");
        assertThat(operator.orElseThrow().canChange("/teams/filing/budget")).isTrue();
        assertThat(operator.orElseThrow().canChange("/teams/filing-other/budget")).isFalse();
        assertThat(settings.operator("Secret")).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"many-faults", "not-json", "empty", "no-such-file"})
    void listsEveryProblemWithFileAndJsonPath(final String name) throws Exception {
        final Path file = FOLDER.resolve(name + ".json");
        final SettingsException failure =
                catchThrowableOfType(SettingsException.class, () -> SettingsReader.read(file));
        final String expected = Files.readString(FOLDER.resolve(name + ".expected.txt"));
        assertThat(failure.getMessage() + "\n").isEqualTo(expected);
    }
}
