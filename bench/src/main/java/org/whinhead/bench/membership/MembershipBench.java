package org.whinhead.bench.membership;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.membership.LeavingNotice;

/** Measures the cost of membership to a daemon, and the speed and accuracy of its gossip. */
public final class MembershipBench {

    private static final int[] SIZES = {9, 30, 100, 330};
    private static final long SEED = 20300101;
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration SUSPICION_WAIT = Duration.ofSeconds(20);
    private static final Duration NOTICE = Duration.ofHours(1);
    private static final double NANOS_IN_PERCENT_OF_SECOND = 1e7;

    /** Frame length, TLS record, TCP and IP headers, and half an acknowledgment. */
    private static final int BYTES_AROUND_MESSAGE = 4 + 22 + 40 + 20;

    private final int mSeconds;
    private final int mTrials;

    private MembershipBench(final int seconds, final int trials) {
        mSeconds = seconds;
        mTrials = trials;
    }

    /**
     * Runs the benchmark.
     *
     * @param arguments {@code --seconds} of the steady state, {@code --trials} of each failure
     * @throws ParseException if an argument is unknown
     */
    public static void main(final String[] arguments) throws ParseException {
        final Options options =
                new Options()
                        .addOption(Option.builder().longOpt("seconds").hasArg().get())
                        .addOption(Option.builder().longOpt("trials").hasArg().get());
        final CommandLine line = new DefaultParser().parse(options, arguments);
        final int seconds = Integer.parseInt(line.getOptionValue("seconds", "60"));
        final int trials = Integer.parseInt(line.getOptionValue("trials", "20"));
        new MembershipBench(seconds, trials).run();
    }

    private void run() {
        measureSteadyState(SIZES[1], false);
        for (final int size : SIZES) {
            measureSilence(size);
        }
        for (final int size : SIZES) {
            measureSteadyState(size, true);
        }
        for (final int size : SIZES) {
            for (final double loss : new double[] {0, 0.05, 0.2}) {
                measureLeaving(size, loss, 0);
            }
            measureLeaving(size, 0, 0.1);
        }
        for (final int size : SIZES) {
            measureReclaimWave(size);
            measurePartition(size);
        }
    }

    private void measureSteadyState(final int size, final boolean print) {
        final MembershipSimulation simulation =
                new MembershipSimulation(size, 0, new SimulatedNetwork(SEED, 0));
        simulation.run(WARM_UP);
        final long messages = simulation.messages();
        final long bytes = simulation.bytes();
        final long cpu = threadCpu();
        simulation.run(Duration.ofSeconds(mSeconds));
        final double daemonSeconds = (double) mSeconds * size;
        final double messageRate = (simulation.messages() - messages) / daemonSeconds;
        final double byteRate = (simulation.bytes() - bytes) / daemonSeconds;
        final double percent = (threadCpu() - cpu) / daemonSeconds / NANOS_IN_PERCENT_OF_SECOND;
        if (print) {
            System.out.printf(
                    "steady n=%d sent a daemon a second: messages=%.1f protobuf=%.0f B"
                            + " wire=%.0f B; sent and received wire=%.0f B; cpu=%.3f%% of a core%n",
                    size,
                    messageRate,
                    byteRate,
                    byteRate + messageRate * BYTES_AROUND_MESSAGE,
                    2 * (byteRate + messageRate * BYTES_AROUND_MESSAGE),
                    percent);
        }
    }

    /** Lets daemons leave, one at a time; measures the delay until each daemon knows. */
    private void measureLeaving(final int size, final double loss, final double slowShare) {
        final MembershipSimulation simulation =
                new MembershipSimulation(size, slowShare, new SimulatedNetwork(SEED, loss));
        simulation.run(WARM_UP);
        final Histogram millis = new Histogram(3);
        long unaware = 0;
        long suspicions = 0;
        final int trials = Math.min(mTrials, size / 2);
        for (int trial = 0; trial < trials; trial++) {
            final SimulatedMember leavingDaemon = simulation.daemons().get(size - 1 - trial);
            final Instant start = simulation.now();
            simulation
                    .daemons()
                    .forEach(daemon -> daemon.await(leavingDaemon.member().id(), VmState.LEAVING));
            leavingDaemon.membership().shutdownStarted(start.plus(NOTICE), start);
            for (int second = 0; second < 10; second++) {
                simulation.run(SECOND);
                suspicions += simulation.suspicions();
            }
            for (final SimulatedMember daemon : simulation.daemons()) {
                if (daemon.awaitedSeenAt() == null) {
                    unaware++;
                } else {
                    millis.recordValue(Duration.between(start, daemon.awaitedSeenAt()).toMillis());
                }
            }
        }
        final double pairs = (double) size * (size - 1) * trials * 10;
        System.out.printf(
                "leaving n=%d loss=%.0f%% slow=%.0f%%: known after p50=%d ms p99=%d ms max=%d ms;"
                        + " unaware after 10 s=%d of %d; falsely suspect=%.4f%% of pairs%n",
                size,
                loss * 100,
                slowShare * 100,
                millis.getValueAtPercentile(50),
                millis.getValueAtPercentile(99),
                millis.getMaxValue(),
                unaware,
                (long) size * trials,
                100 * suspicions / pairs);
    }

    /** Ends daemons without notice, one at a time; measures the delay until others suspect each. */
    private void measureSilence(final int size) {
        final MembershipSimulation simulation =
                new MembershipSimulation(size, 0, new SimulatedNetwork(SEED, 0));
        simulation.run(WARM_UP);
        final Histogram millis = new Histogram(3);
        long unaware = 0;
        final int trials = Math.min(mTrials, size / 3);
        for (int trial = 0; trial < trials; trial++) {
            final SimulatedMember endedDaemon = simulation.daemons().get(size - 1 - trial);
            final Instant start = simulation.now();
            simulation.kill(endedDaemon);
            simulation
                    .daemons()
                    .forEach(daemon -> daemon.await(endedDaemon.member().id(), VmState.SUSPECT));
            simulation.run(SUSPICION_WAIT);
            for (final SimulatedMember daemon : simulation.daemons()) {
                if (daemon.awaitedSeenAt() == null) {
                    unaware++;
                } else {
                    millis.recordValue(Duration.between(start, daemon.awaitedSeenAt()).toMillis());
                }
            }
        }
        System.out.printf(
                "silence n=%d: suspect after p50=%d ms p99=%d ms max=%d ms; unaware after %s=%d%n",
                size,
                millis.getValueAtPercentile(50),
                millis.getValueAtPercentile(99),
                millis.getMaxValue(),
                SUSPICION_WAIT,
                unaware);
    }

    /** Reclaims a whole failure domain; one daemon reads the notice. */
    private void measureReclaimWave(final int size) {
        final MembershipSimulation simulation =
                new MembershipSimulation(size, 0, new SimulatedNetwork(SEED, 0));
        simulation.run(WARM_UP);
        final SimulatedMember reader = simulation.daemons().get(0);
        final SimulatedMember last = simulation.daemons().get(size - 1);
        final FailureDomain domain = last.member().vm().domain();
        final Set<VmId> vms = new HashSet<>();
        for (final SimulatedMember daemon : simulation.daemons()) {
            daemon.await(last.member().id(), VmState.LEAVING);
            if (daemon.member().vm().domain().equals(domain)) {
                vms.add(daemon.member().id());
            }
        }
        for (final Endpoint endpoint : simulation.endpoints()) {
            if (endpoint.vm().domain().equals(domain)) {
                vms.add(endpoint.vm().id());
            }
        }
        final Instant start = simulation.now();
        final long bytes = simulation.bytes();
        reader.membership().noticeReceived(new LeavingNotice(vms, start.plus(NOTICE)), start);
        simulation.run(SECOND);
        final double burst = (double) (simulation.bytes() - bytes) / size;
        long slowest = 0;
        for (final SimulatedMember daemon : simulation.daemons()) {
            final Instant seen = daemon.awaitedSeenAt();
            slowest = Math.max(slowest, Duration.between(start, seen).toMillis());
        }
        System.out.printf(
                "wave n=%d: %d VMs known everywhere after %d ms;"
                        + " sent in that second a daemon: %.0f B%n",
                size, vms.size(), slowest, burst);
    }

    /** Partitions the regions for five minutes, then measures the recovery. */
    private void measurePartition(final int size) {
        final SimulatedNetwork network = new SimulatedNetwork(SEED, 0);
        final MembershipSimulation simulation = new MembershipSimulation(size, 0, network);
        simulation.run(WARM_UP);
        network.setPartitioned(true);
        simulation.run(Duration.ofMinutes(5));
        final long suspectPairs = simulation.suspicions();
        network.setPartitioned(false);
        long peak = 0;
        int seconds = 0;
        do {
            final long before = simulation.bytes();
            simulation.run(SECOND);
            peak = Math.max(peak, (simulation.bytes() - before) / size);
            seconds++;
        } while (simulation.suspicions() > 0 && seconds < 120);
        System.out.printf(
                "partition n=%d: suspect pairs while cut=%d of %d; after healing none after %d s"
                        + " (left %d), busiest second sent a daemon: %d B%n",
                size, suspectPairs, crossRegionPairs(size), seconds, simulation.suspicions(), peak);
    }

    private static long crossRegionPairs(final int size) {
        long west = 0;
        for (int i = 0; i < size; i++) {
            west += i % 6 < 3 ? 1 : 0;
        }
        return 2 * west * (size - west);
    }

    private static long threadCpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
