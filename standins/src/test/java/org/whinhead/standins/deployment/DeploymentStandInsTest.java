package org.whinhead.standins.deployment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.cli.ParseException;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.standins.cloud.CloudActions;
import org.whinhead.standins.cloud.VmOrder;

final class DeploymentStandInsTest {

    private final HttpClient mClient = HttpClient.newHttpClient();

    /**
     * A failure domain is reclaimed: after the notice, its engines refuse connections. The listener
     * of the daemon's VM is notified last, because its id sorts last.
     */
    @Test
    void reclaimStopsServersOfDomain() throws Exception {
        final CompletableFuture<String> gone = new CompletableFuture<>();
        final DeploymentConfig config =
                DeploymentConfig.of(DeploymentPlan.INKIKO).withVmLag(Duration.ofMillis(1));
        try (DeploymentStandIns all = DeploymentStandIns.start(config, new Entries(gone))) {
            final FailureDomain domain = DeploymentPlan.INKIKO.domains().get(0);
            all.addEntry("vm-zentry", domain, URI.create("http://127.0.0.1:1"));
            final URI engine = all.engines().get("vm-engine-1").uri();
            assertThat(get(engine.resolve("/v1/models")))
                    .isEqualTo("{\"data\":[{\"id\":\"filing-drafts@2026.1\"}]}");
            assertThat(all.engines()).hasSize(6);
            all.cloud().reclaim(domain, Duration.ofMillis(20));
            assertThat(gone.get()).isEqualTo("vm-zentry");
            assertThat(all.engines()).hasSize(4).doesNotContainKey("vm-engine-1");
            assertThat(get(all.cloud().uri().resolve("/cloud/notices?after=0")))
                    .contains("vm-engine-1", "vm-engine-4", "vm-service-1", "\"next\":4");
            assertThatThrownBy(() -> get(engine.resolve("/v1/models")))
                    .isInstanceOf(ConnectException.class);
        }
    }

    @Test
    void errorNamesWrongOption() throws ParseException {
        assertThat(
                        StandInsOptions.parse(
                                "--deployment=mezani",
                                "--ports=0",
                                "--entry=http://127.0.0.1:8080"))
                .isEqualTo(
                        DeploymentConfig.of(DeploymentPlan.MEZANI)
                                .withEntries(List.of(URI.create("http://127.0.0.1:8080"))));
        assertThatThrownBy(() -> StandInsOptions.parse("--speed-up", "fast"))
                .hasMessage("--speed-up needs a number that is not negative, but is \"fast\"");
        assertThatThrownBy(() -> StandInsOptions.parse("--speed-up", "0"))
                .hasMessage("--speed-up needs a positive number, but is \"0\"");
    }

    private String get(final URI uri) throws Exception {
        return mClient.send(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString()).body();
    }

    private record Entries(CompletableFuture<String> gone) implements CloudActions {
        @Override
        public void onStarted(final String vm, final VmOrder order) {
            // No VM is started here.
        }

        @Override
        public void onNotice(final String vm, final Instant goneBy) {
            // The test checks only the end of the VM.
        }

        @Override
        public void onGone(final String vm) {
            gone.complete(vm);
        }
    }
}
