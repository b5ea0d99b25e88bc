package org.whinhead.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.requests.TicketCodec;
import org.whinhead.requests.TicketKey;
import org.whinhead.settings.SettingsException;
import org.whinhead.settings.daemon.SettingsReader;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentList;
import org.whinhead.settings.deployment.StoredDocument;

/** The command {@code bin/whinheadd}: runs one daemon until the process receives a stop signal. */
public final class DaemonMain {

    private static final String HELP = "--help";
    private static final Logger LOGGER = LoggerFactory.getLogger(DaemonMain.class);
    private static final String SETTINGS = "settings";
    private static final String DEPLOYMENT = "deployment-file";
    private static final String TICKET_KEYS = "ticket-key-file";
    private static final int EXIT_FAULT = 1;
    private static final int EXIT_USAGE = 2;
    private static final int IO_THREADS = 2;

    private DaemonMain() {}

    /**
     * Runs the command.
     *
     * @param arguments the command line
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(final String[] arguments) throws InterruptedException {
        if (Arrays.asList(arguments).contains(HELP)) {
            usage();
            return;
        }
        try {
            run(new DefaultParser().parse(options(), arguments));
        } catch (final ParseException e) {
            fail(e.getMessage(), EXIT_USAGE);
        } catch (final SettingsException | IOException | IllegalArgumentException e) {
            fail(e.getMessage(), EXIT_FAULT);
        }
    }

    private static void usage() {
        System.out.println("usage: bin/whinheadd --settings FILE [options]");
        options()
                .getOptions()
                .forEach(
                        option ->
                                System.out.printf(
                                        "  --%s FILE%n      %s%s%n",
                                        option.getLongOpt(),
                                        option.getDescription(),
                                        option.isRequired() ? "; required" : "; default: none"));
        System.out.println("Example: bin/whinheadd --settings examples/local/entry-1.json");
        System.out.println("Stops gracefully on SIGTERM. Exit status: 0, 1 for a fault, 2 usage.");
    }

    private static void fail(final String message, final int exitCode) {
        System.err.println(message);
        System.exit(exitCode);
    }

    private static Options options() {
        return new Options()
                .addOption(file(SETTINGS, "the daemon's settings", true))
                .addOption(file(DEPLOYMENT, "the deployment's documents, as a list", false))
                .addOption(
                        file(
                                TICKET_KEYS,
                                "lines of NAME and a secret in base64; first signs",
                                false));
    }

    private static Option file(
            final String name, final String description, final boolean required) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName("FILE")
                .desc(description)
                .required(required)
                .build();
    }

    private static void run(final CommandLine line)
            throws SettingsException, IOException, InterruptedException {
        final Path settings = Path.of(line.getOptionValue(SETTINGS));
        DaemonOptions options = DaemonOptions.on(WorkerPool.start("io", IO_THREADS));
        if (line.hasOption(TICKET_KEYS)) {
            options = options.withTickets(tickets(Path.of(line.getOptionValue(TICKET_KEYS))));
        } else {
            LOGGER.atWarn()
                    .addKeyValue("option", TICKET_KEYS)
                    .log("no shared ticket keys: other daemons cannot read this daemon's tickets");
        }
        final Daemon daemon = Daemon.start(SettingsReader.read(settings), options);
        if (line.hasOption(DEPLOYMENT)) {
            daemon.settingsChanged(deployment(Path.of(line.getOptionValue(DEPLOYMENT))), 0);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
        new CountDownLatch(1).await();
    }

    /** Ends the process with status 0; after a signal the JVM would end it with another. */
    private static void stop(final Daemon daemon) {
        try {
            daemon.stop();
            Runtime.getRuntime().halt(0);
        } catch (final InterruptedException e) {
            Runtime.getRuntime().halt(EXIT_FAULT);
        }
    }

    private static DeploymentSettings deployment(final Path file)
            throws SettingsException, IOException {
        final List<DocumentList.Entry> entries =
                DocumentList.parse(file.toString(), Files.readString(file));
        return DeploymentSettings.of(
                entries.stream()
                        .map(entry -> new StoredDocument(entry.path(), entry.text(), 0))
                        .toList());
    }

    private static TicketCodec tickets(final Path file) throws IOException {
        final List<TicketKey> keys = new ArrayList<>();
        for (final String line : Files.readAllLines(file)) {
            final String[] parts = line.strip().split("\\s+");
            if (parts.length == 2) {
                keys.add(new TicketKey(parts[0], Base64.getDecoder().decode(parts[1])));
            }
        }
        return new TicketCodec(keys);
    }
}
