package org.whinhead.settings.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.whinhead.settings.KeyHashes;
import org.whinhead.settings.SettingsProblem;

final class DocumentValidatorTest {

    private static final String TIER =
            """
            {"schema": 1, "priority": 1, "firstTokenMillis": 400, "betweenTokensMillis": 40,
             "requestTimeoutMillis": 60000,
             "objectives": {"latencyShare": 0.99, "availabilityShare": 0.999, "windowHours": 24}}
            """;
    private static final String CUSTOMER =
            """
            {"schema": 1, "tier": "/tiers/urgent", "weight": 1, "tokensPerSecond": 1,
             "keyHashes": ["sha256:%s"]}
            """
                    .formatted(KeyHashes.hash("secret"));
    private static final DeploymentSettings CURRENT =
            DeploymentSettings.EMPTY
                    .with(stored("/tiers/urgent", TIER))
                    .with(stored("/teams/filing/customers/aid", CUSTOMER));

    // Guards against the deletion of a tier that a customer refers to: the customer would lose its
    // tier, and its calls would be refused as unknown.
    @Test
    void tierInUseCannotBeDeleted() {
        final ValidationResult inUse = delete("/tiers/urgent", CURRENT);
        assertThat(inUse.problems())
                .extracting(SettingsProblem::message)
                .containsExactly("/tiers/urgent is in use by /teams/filing/customers/aid");
        final DeploymentSettings without =
                CURRENT.without(DocumentPath.parse("/teams/filing/customers/aid"));
        assertThat(delete("/tiers/urgent", without).canBePublished()).isTrue();
        assertThat(delete("/tiers/other", CURRENT).canTakeEffect()).isFalse();
        assertThat(delete("tiers/urgent", CURRENT).canTakeEffect()).isFalse();
    }

    // Guards against daemons whose settings differ permanently: an older program version rejects a
    // document with a newer schema number that a newer version accepts.
    @Test
    void documentOfNewerSchemaTakesEffectButCannotBePublished() {
        final String later = "{\"schema\": 2, \"floor\": \"/tiers/urgent\"}";
        final ValidationResult validation = put("/tiers/later", later, CURRENT);
        assertThat(validation.canTakeEffect()).isTrue();
        assertThat(validation.known()).isFalse();
        assertThat(validation.canBePublished()).isFalse();

        final DeploymentSettings next = CURRENT.with(stored("/tiers/later", later));
        assertThat(next.unusablePaths()).containsExactly(DocumentPath.parse("/tiers/later"));
        assertThat(next.documents()).extracting(StoredDocument::text).contains(later);
        assertThat(next.tiers()).hasSize(1);
        final DeploymentSettings freed =
                next.without(DocumentPath.parse("/teams/filing/customers/aid"));
        assertThat(delete("/tiers/urgent", freed).canTakeEffect()).isFalse();
    }

    // A faulty program may append a document that violates its schema to the log. Programs with and
    // without knowledge of the schema must agree on the documents in force.
    @Test
    void foldChecksOnlyLinksAndEnvelope() {
        final ValidationResult wrong =
                put("/tiers/urgent", "{\"schema\": 1, \"priority\": 2}", CURRENT);
        assertThat(wrong.canTakeEffect()).isTrue();
        assertThat(wrong.canBePublished()).isFalse();
        assertThat(put("/tiers/a", "{\"schema\": 1, \"schema\": 2}", CURRENT).canTakeEffect())
                .isFalse();
        assertThat(put("/tiers/a", "{\"priority\": 2}", CURRENT).canTakeEffect()).isFalse();
        assertThat(put("/tiers/a", "[]", CURRENT).canTakeEffect()).isFalse();
        assertThat(put("/tiers/a", "", CURRENT).canTakeEffect()).isFalse();
    }

    // Guards against a tier with priority 5 whose document says 18446744073709551621.0: the schema
    // validator narrows the number before it compares, and so does the decoder.
    @Test
    void numberThatWouldBeNarrowedIsRejected() {
        final String text = TIER.replace("\"priority\": 1", "\"priority\": 18446744073709551621.0");
        assertThat(put("/tiers/urgent", text, CURRENT).problems())
                .extracting(SettingsProblem::path)
                .containsExactly("$.priority");
    }

    @Test
    void refreshReusesUnchangedDocuments() {
        final StoredDocument tier = stored("/tiers/urgent", TIER);
        final Map<String, String> texts =
                Map.of("/tiers/urgent", TIER, "/teams/filing/customers/aid", CUSTOMER);
        final DeploymentSettings refreshed =
                DeploymentSettings.EMPTY
                        .with(tier)
                        .refreshed(texts, path -> path.equals("/tiers/urgent") ? 1 : 2);
        assertThat(refreshed.document(tier.path())).containsSame(tier);
        assertThat(refreshed.customerByKeyHash(KeyHashes.hash("secret"))).isPresent();
        assertThat(refreshed.refreshed(Map.of(), path -> 0).customers()).isEmpty();
    }

    @Property(seed = "20260411", tries = 300)
    void validationIsDeterministic(
            @ForAll final String path, @ForAll final String text, @ForAll final int schema) {
        for (final String place : new String[] {path, "/tiers/a", "/new/kind"}) {
            final String document = "{\"schema\": " + schema + ", \"x\": [\"/" + text + "\"]}";
            assertThat(put(place, document, CURRENT)).isEqualTo(put(place, document, CURRENT));
            assertThat(put(place, text, CURRENT)).isEqualTo(put(place, text, CURRENT));
        }
    }

    private static StoredDocument stored(final String path, final String text) {
        return new StoredDocument(DocumentPath.parse(path), text, 1);
    }

    private static ValidationResult put(
            final String path, final String text, final DeploymentSettings current) {
        return DocumentValidator.validate(path, Optional.of(text), current);
    }

    private static ValidationResult delete(final String path, final DeploymentSettings current) {
        return DocumentValidator.validate(path, Optional.empty(), current);
    }
}
