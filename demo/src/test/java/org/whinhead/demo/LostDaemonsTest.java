package org.whinhead.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.whinhead.requests.RecoveryMode;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.standins.deployment.DeploymentConfig;
import org.whinhead.standins.deployment.DeploymentPlan;
import org.whinhead.standins.deployment.DeploymentStandIns;
import org.whinhead.standins.load.LoadRun;
import org.whinhead.standins.load.caller.CallerConfig;
import org.whinhead.standins.load.mix.Deployment;
import org.whinhead.standins.load.result.LoadResult;

@Timeout(60)
class LostDaemonsTest {

    /**
     * Guards against recomputed prompts after half of the daemons end with answers in progress
     * while the engines keep running. Callers resume at other daemons with tickets; prompts are
     * computed again if the streams named by the tickets are gone, for example canceled by the
     * daemons that closed.
     */
    @Test
    void streamsOfLostDaemonsAreReadOnElsewhere() throws Exception {
        try (EntryVms entries = new EntryVms(RecoveryMode.KEEP_WORK);
                DeploymentStandIns standIns =
                        DeploymentStandIns.start(
                                DeploymentConfig.of(DeploymentPlan.MEZANI), entries)) {
            final ExampleSettings examples = new ExampleSettings(Deployment.MEZANI);
            final List<URI> targets = new ArrayList<>();
            final List<DaemonSettings> daemons = examples.daemons();
            for (final DaemonSettings daemon : daemons) {
                targets.add(entries.start(daemon, DemoRun.platformUris(standIns)));
            }
            entries.putSettings(examples.documents());
            final LoadRun load =
                    LoadRun.builder(Deployment.MEZANI.workload(), CallerConfig.of(targets))
                            .closedLoopCallers(20)
                            .build();
            final CompletableFuture<LoadResult> end = load.start();
            while (load.currentResult().requests().size() < 20) {
                Thread.onSpinWait();
            }
            daemons.subList(0, 4).forEach(daemon -> entries.onGone(daemon.vm().value()));
            load.stop();
            final LoadResult result = end.get();
            assertThat(result.isGuaranteeKept()).isTrue();
            assertThat(result.requests())
                    .filteredOn(request -> request.resumes() > 0)
                    .isNotEmpty()
                    .allSatisfy(
                            request ->
                                    assertThat(
                                                    standIns.context()
                                                            .workCounter()
                                                            .recomputedTokens(
                                                                    DemoResult.engineRequestId(
                                                                            request.request())))
                                            .isZero());
        }
    }
}
