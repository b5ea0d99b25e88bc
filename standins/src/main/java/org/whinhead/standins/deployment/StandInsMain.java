package org.whinhead.standins.deployment;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.ParseException;

/** Entry point of the command {@code bin/standins}. */
public final class StandInsMain {

    private static final int EXIT_USAGE = 2;
    private static final String LOG_SETTINGS = "logback.configurationFile";
    private static final String OWN_LOG_SETTINGS = "org/whinhead/standins/deployment/logback.xml";

    private StandInsMain() {}

    /**
     * Runs the stand-ins until the process receives a stop signal.
     *
     * @param arguments the command line
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(final String[] arguments) throws InterruptedException {
        // Scripts read one line of JSON from standard output, so logs go to standard error.
        if (System.getProperty(LOG_SETTINGS) == null) {
            System.setProperty(LOG_SETTINGS, OWN_LOG_SETTINGS);
        }
        if (StandInsOptions.wantsHelp(arguments)) {
            System.out.print(StandInsOptions.help());
            return;
        }
        try {
            run(StandInsOptions.parse(arguments), System.out);
        } catch (final ParseException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private static void run(final DeploymentConfig config, final PrintStream out)
            throws InterruptedException {
        final DeploymentStandIns standIns = DeploymentStandIns.start(config);
        final CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    standIns.close();
                                    stopped.countDown();
                                },
                                "standins-stop"));
        out.println(standIns.addresses());
        stopped.await();
    }
}
