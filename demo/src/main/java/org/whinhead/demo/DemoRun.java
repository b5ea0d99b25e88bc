package org.whinhead.demo;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.whinhead.settings.SettingsException;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.PlatformUris;
import org.whinhead.standins.deployment.DeploymentConfig;
import org.whinhead.standins.deployment.DeploymentStandIns;
import org.whinhead.standins.load.LoadRun;
import org.whinhead.standins.load.caller.CallerConfig;
import org.whinhead.standins.load.result.LoadResult;

/** Runs one deployment and reclaims one of its failure domains halfway. */
public final class DemoRun implements AutoCloseable {

    private static final Duration WAVE_SETTLE_TIME = Duration.ofSeconds(3);

    private final DemoConfig mConfig;
    private final EntryVms mEntries;
    private final DeploymentStandIns mStandIns;
    private final List<URI> mTargets = new ArrayList<>();
    private final ScheduledExecutorService mTimers = Executors.newSingleThreadScheduledExecutor();

    private DemoRun(final DemoConfig config) throws IOException {
        mConfig = config;
        mEntries = new EntryVms(config.recovery());
        mStandIns =
                DeploymentStandIns.start(
                        DeploymentConfig.of(config.plan()).withSpeedUp(config.speedUp()), mEntries);
    }

    /**
     * Runs a deployment to its end.
     *
     * @param config the configuration of the run
     * @return the result
     * @throws IOException if a server cannot be started
     * @throws SettingsException if the example settings are invalid
     * @throws InterruptedException if the run is interrupted
     * @throws ExecutionException if the run fails because of an internal error
     */
    public static DemoResult run(final DemoConfig config)
            throws IOException, SettingsException, InterruptedException, ExecutionException {
        try (DemoRun run = new DemoRun(config)) {
            run.startDaemons();
            return run.load();
        }
    }

    @Override
    public void close() {
        mTimers.shutdownNow();
        mEntries.close();
        mStandIns.close();
    }

    private void startDaemons() throws IOException, SettingsException, InterruptedException {
        final ExampleSettings settings = new ExampleSettings(mConfig.deployment());
        final PlatformUris platform = platformUris(mStandIns);
        for (final DaemonSettings daemon : settings.daemons()) {
            final URI uri = mEntries.start(daemon, platform);
            mStandIns.addEntry(daemon.vm().value(), daemon.domain(), uri);
            mTargets.add(uri);
        }
        mEntries.putSettings(settings.documents());
    }

    /** Returns the addresses of the platform's services. */
    static PlatformUris platformUris(final DeploymentStandIns standIns) {
        return new PlatformUris(
                standIns.log().uri(),
                standIns.vms().uri(),
                standIns.cloud().uri(),
                standIns.weights().uri());
    }

    private DemoResult load() throws InterruptedException, ExecutionException {
        final LoadRun load =
                LoadRun.builder(
                                mConfig.deployment().workload(),
                                CallerConfig.of(mTargets).withDeadline(mConfig.callerDeadline()))
                        .duration(mConfig.duration())
                        .requestsPerSecond(mConfig.requestsPerSecond())
                        .seed(mConfig.seed())
                        .build();
        final CompletableFuture<LoadResult> whole = load.start();
        final CompletableFuture<LoadResult> atNotice = new CompletableFuture<>();
        final CompletableFuture<LoadResult> settled = new CompletableFuture<>();
        final Duration noticeDelay = mConfig.reclaimDelay();
        final Duration endDelay = noticeDelay.plus(mConfig.notice());
        schedule(noticeDelay, () -> reclaim(atNotice, load));
        schedule(endDelay.plus(WAVE_SETTLE_TIME), () -> settled.complete(load.currentResult()));
        final LoadResult end = whole.get();
        final LoadPhases phases = new LoadPhases(atNotice.get(), settled.get(), end);
        return DemoResult.of(mConfig, phases, mStandIns);
    }

    private void reclaim(final CompletableFuture<LoadResult> atNotice, final LoadRun load) {
        atNotice.complete(load.currentResult());
        mStandIns.cloud().reclaim(mConfig.reclaimedDomain(), mConfig.notice());
    }

    private void schedule(final Duration delay, final Runnable task) {
        mTimers.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
