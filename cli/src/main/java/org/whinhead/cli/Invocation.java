package org.whinhead.cli;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.whinhead.cli.http.DaemonClient;
import org.whinhead.cli.http.FleetClient;
import org.whinhead.cli.http.OperatorHttpClient;

/** A parsed command line with the environment variables. */
public final class Invocation {

    private static final String DAEMON_VARIABLE = "WHINHEAD_DAEMON";
    private static final String SCHEME = "http";

    private final CommandLine mLine;
    private final Map<String, String> mEnvironment;

    /**
     * Creates an invocation.
     *
     * @param line the parsed options and positional arguments
     * @param environment the environment variables
     */
    Invocation(final CommandLine line, final Map<String, String> environment) {
        mLine = line;
        mEnvironment = environment;
    }

    /** Returns the positional arguments. */
    public List<String> arguments() {
        return mLine.getArgList();
    }

    /**
     * Returns whether an option is given.
     *
     * @param option the option
     * @return true if the command line contains the option
     */
    public boolean has(final CliOption option) {
        return mLine.hasOption(option.optionName());
    }

    /**
     * Returns the value of an option.
     *
     * @param option the option
     * @return the value, or empty if the option is not given
     */
    public Optional<String> text(final CliOption option) {
        return Optional.ofNullable(mLine.getOptionValue(option.optionName()));
    }

    /**
     * Returns the value of an option as a number.
     *
     * @param option the option
     * @return the number, or empty if the option is not given
     * @throws CliException if the value is not a number
     */
    public Optional<Long> number(final CliOption option) throws CliException {
        final Optional<String> text = text(option);
        try {
            return text.map(Long::parseLong);
        } catch (NumberFormatException e) {
            throw new CliException(
                    ExitCode.USAGE, "usage.not-number", option.optionName(), text.orElse(""));
        }
    }

    /**
     * Returns the value of an option as a number, or the default of the option.
     *
     * @param option an option whose default is a number
     * @return the number
     * @throws CliException if the value is not a number
     */
    public long numberOrDefault(final CliOption option) throws CliException {
        return number(option).orElse(Long.parseLong(option.defaultText()));
    }

    /**
     * Creates a client of the daemons that the command line or the environment names.
     *
     * @return the client, which the caller closes
     * @throws CliException if no daemon is named or the key cannot be read
     */
    public DaemonClient daemonClient() throws CliException {
        final Duration timeout = Duration.ofSeconds(numberOrDefault(CliOption.TIMEOUT));
        return new DaemonClient(daemons(), key(), new OperatorHttpClient(timeout));
    }

    /**
     * Creates a client of all daemons of the fleet.
     *
     * @return the client, which the caller closes
     * @throws CliException if no daemon is named or the key cannot be read
     */
    public FleetClient fleetClient() throws CliException {
        final Duration timeout = Duration.ofSeconds(numberOrDefault(CliOption.TIMEOUT));
        final Duration totalTimeout = Duration.ofSeconds(numberOrDefault(CliOption.TOTAL));
        return new FleetClient(daemons(), key(), new OperatorHttpClient(timeout), totalTimeout);
    }

    private List<URI> daemons() throws CliException {
        final List<String> texts = new ArrayList<>();
        if (has(CliOption.DAEMON)) {
            texts.addAll(List.of(mLine.getOptionValues(CliOption.DAEMON.optionName())));
        } else {
            final String variable = mEnvironment.getOrDefault(DAEMON_VARIABLE, "");
            texts.addAll(variable.isBlank() ? List.of() : List.of(variable.trim().split("[, ]+")));
        }
        if (texts.isEmpty()) {
            throw new CliException(ExitCode.USAGE, "usage.no-daemon");
        }
        final List<URI> daemons = new ArrayList<>();
        for (final String text : texts) {
            daemons.add(parseDaemon(text));
        }
        return daemons;
    }

    private static URI parseDaemon(final String text) throws CliException {
        try {
            final URI uri = URI.create(text);
            if (SCHEME.equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0) {
                return uri;
            }
        } catch (IllegalArgumentException e) {
            throw new CliException(ExitCode.USAGE, "usage.bad-daemon", text);
        }
        throw new CliException(ExitCode.USAGE, "usage.bad-daemon", text);
    }

    private Optional<String> key() throws CliException {
        final Optional<String> file = text(CliOption.KEY_FILE);
        if (file.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Files.readString(Path.of(file.get())).strip());
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "usage.unreadable", file.get());
        }
    }
}
