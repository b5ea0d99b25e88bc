package org.whinhead.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

@AnalyzeClasses(packages = "org.whinhead", importOptions = ImportOption.DoNotIncludeTests.class)
class PlatformBoundaryTest {

    /** Headers, paths, topics and settings that only the adapter may spell. */
    private static final Pattern PLATFORM_NAME =
            Pattern.compile(
                    "Attempt-Id|Response-Stamp|Not-Executed|Kv-From|Kv-Backup|Kv-Fetch|Pin-Ms"
                            + "|Prompt-Prefix|Token-Count|Expect-Instance|Request-Priority"
                            + "|Duty-Holder|Fencing-Token|/v1/log-|/v1/kv-|/v1/readiness"
                            + "|/v1/resolve|keyed\\.|_NODE_FILE");

    @ArchTest
    static final ArchRule NOTHING_DEPENDS_ON_THE_ADAPTER =
            noClasses()
                    .that()
                    .resideOutsideOfPackage("org.whinhead.platform..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.whinhead.platform..");

    // A rule of the product hides in the adapter and is missing on the next platform: it must not
    // see
    // the objects that decide, only what it translates into.
    @ArchTest
    static final ArchRule THE_ADAPTER_SEES_NO_DECISION =
            noClasses()
                    .that()
                    .resideInAPackage("org.whinhead.platform..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.whinhead.gateway.exchange..",
                            "org.whinhead.serving.usage..",
                            "org.whinhead.routing..",
                            "org.whinhead.admission..",
                            "org.whinhead.requests..");

    @ArchTest
    static final ArchRule DECISIONS_OF_SERVING_KNOW_NO_TRANSPORT =
            classes()
                    .that()
                    .resideInAPackage("org.whinhead.serving..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage("java..", "org.whinhead.serving..", "org.whinhead.api..");

    @Test
    void onlyTheAdapterSpellsThePlatformsNames() throws IOException {
        final Path root = Path.of("").toAbsolutePath().getParent();
        try (Stream<Path> modules = Files.list(root)) {
            final List<Path> sources =
                    modules.filter(module -> !module.endsWith("platform"))
                            .map(module -> module.resolve("src/main/java"))
                            .filter(Files::isDirectory)
                            .flatMap(PlatformBoundaryTest::javaFiles)
                            .filter(PlatformBoundaryTest::spellsPlatformName)
                            .toList();
            assertThat(sources).isEmpty();
        }
    }

    private static Stream<Path> javaFiles(final Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList().stream();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean spellsPlatformName(final Path file) {
        try {
            return PLATFORM_NAME.matcher(Files.readString(file)).find();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
