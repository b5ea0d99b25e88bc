package org.whinhead.settings.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.TeamId;
import org.whinhead.settings.KeyHashes;
import org.whinhead.settings.SettingsException;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.SettingsReader;

final class DocumentListTest {

    private static final Path FOLDER = Path.of("src/test/resources/documents");
    private static final Path EXAMPLES = Path.of("../examples");

    @ParameterizedTest
    @ValueSource(strings = {"faults-of-form", "faults-of-links"})
    void listsEveryProblemWithDocumentPathAndJsonPath(final String name) throws Exception {
        final List<SettingsProblem> problems =
                DocumentList.check(entries(FOLDER.resolve(name + ".json")));
        final String text =
                problems.stream().map(problem -> problem + "\n").collect(Collectors.joining());
        assertThat(text).isEqualTo(Files.readString(FOLDER.resolve(name + ".expected.txt")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"inkiko", "mezani"})
    void exampleDocumentsCanBeAddedOneByOne(final String name) throws Exception {
        DeploymentSettings settings = DeploymentSettings.EMPTY;
        for (final DocumentList.Entry entry : entries(documents(name))) {
            final ValidationResult validation =
                    DocumentValidator.validate(
                            entry.path().text(), Optional.of(entry.text()), settings);
            assertThat(validation.problems()).isEmpty();
            assertThat(validation.canBePublished()).isTrue();
            settings = settings.with(new StoredDocument(entry.path(), entry.text(), 1));
        }
        assertThat(settings.unusablePaths()).isEmpty();
        assertThat(settings.customers()).hasSize(5);
        assertThat(settings.domains()).hasSize(3);
        assertThat(settings.pools()).allMatch(pool -> pool.needed() == 4);
        assertThat(settings.routing()).isPresent();
        assertThat(settings.retries()).isPresent();
        assertThat(settings.pace()).isPresent();
    }

    @ParameterizedTest
    @MethodSource("daemonFiles")
    void exampleDaemonFilesLoad(final Path file) throws Exception {
        final DaemonSettings settings = SettingsReader.read(file);
        assertThat(settings.name()).endsWith(file.getFileName().toString().replace(".json", ""));
        assertThat(settings.operators()).hasSize(3);
    }

    static List<Path> daemonFiles() throws Exception {
        try (Stream<Path> files = Files.walk(EXAMPLES)) {
            final List<Path> found =
                    files.filter(file -> file.getFileName().toString().startsWith("entry-"))
                            .sorted()
                            .toList();
            assertThat(found).hasSize(19);
            return found;
        }
    }

    @Test
    void findsCustomersBudgetsAndModels() throws Exception {
        final DeploymentSettings settings =
                DeploymentSettings.of(
                        entries(documents("inkiko")).stream()
                                .map(entry -> new StoredDocument(entry.path(), entry.text(), 1))
                                .toList());
        assertThat(
                        settings.customerByKeyHash(KeyHashes.hash("example-key-bailiff-offices"))
                                .map(customer -> customer.id() + " " + customer.tier().priority()))
                .contains(new CustomerId("bailiff-offices") + " 3");
        assertThat(settings.customerByKeyHash(KeyHashes.hash("other"))).isEmpty();
        assertThat(settings.budget(new TeamId("filing")).orElseThrow().domains()).hasSize(3);
        assertThat(
                        settings.isModelConfigured(
                                ModelRef.parse("filing-drafts@2026.1+claims-english")))
                .isTrue();
        assertThat(settings.isModelConfigured(ModelRef.parse("filing-drafts@2026.1+menu")))
                .isFalse();
        assertThat(settings.isModelConfigured(ModelRef.parse("filing-drafts@2025.9"))).isFalse();
    }

    // Guards against a claim that is recorded twice: a spelling of the path that matches no listed
    // path is treated as idempotent and retried after a lost connection, although the service
    // resolves it to the claims path each time.
    @ParameterizedTest
    @ValueSource(
            strings = {"claims", "/claims/7", "Claims", "x/../claims", "x//claims", "%63laims", ""})
    void noSpellingOfListedPathIsIdempotent(final String path) throws Exception {
        final DocumentValue.ServiceEntry service = filingService();
        assertThat(service.isIdempotent(path)).isFalse();
        assertThat(service.isIdempotent("claims-status")).isTrue();
        assertThat(service.timeoutFor("claims/7")).hasSeconds(30);
        assertThat(service.timeoutFor("status")).hasSeconds(10);
    }

    private static DocumentValue.ServiceEntry filingService() throws Exception {
        final DocumentList.Entry entry =
                entries(documents("inkiko")).stream()
                        .filter(candidate -> candidate.path().text().equals("/services/filing"))
                        .findFirst()
                        .orElseThrow();
        final StoredDocument stored = new StoredDocument(entry.path(), entry.text(), 1);
        return (DocumentValue.ServiceEntry) stored.value().orElseThrow();
    }

    private static Path documents(final String deployment) {
        return EXAMPLES.resolve(deployment).resolve("documents.json");
    }

    private static List<DocumentList.Entry> entries(final Path file)
            throws SettingsException, java.io.IOException {
        return DocumentList.parse(file.toString(), Files.readString(file));
    }
}
