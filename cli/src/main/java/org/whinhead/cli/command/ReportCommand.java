package org.whinhead.cli.command;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.whinhead.cli.CliException;
import org.whinhead.cli.CliMessages;
import org.whinhead.cli.CliOption;
import org.whinhead.cli.Command;
import org.whinhead.cli.Console;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.Invocation;
import org.whinhead.cli.http.DaemonResult;
import org.whinhead.cli.http.FleetAddresses;
import org.whinhead.cli.http.FleetClient;
import org.whinhead.report.DaemonReport;
import org.whinhead.report.DaemonReportJson;
import org.whinhead.report.FleetReport;
import org.whinhead.report.FleetReportMerger;
import org.whinhead.report.ReportFormatException;

/** Collects the counts of all daemons and writes the report on the burn of service levels. */
public final class ReportCommand implements Command {

    private static final String TARGET = "/operator/burn";

    @Override
    public ExitCode run(final Invocation invocation, final Console console) throws CliException {
        final ReportFormat format = format(invocation, console);
        final OptionalDouble price = price(invocation);
        final FleetReport report = collect(invocation, price);
        write(invocation, console, format, report);
        return report.isComplete() ? ExitCode.OK : ExitCode.REFUSED;
    }

    private static FleetReport collect(final Invocation invocation, final OptionalDouble price)
            throws CliException {
        try (FleetClient client = invocation.fleetClient()) {
            final FleetAddresses addresses =
                    new FleetAddresses(
                            client.named(), OperatorResponses.requireBody(client.addresses()));
            final ReportCollector collector = new ReportCollector();
            client.get(addresses.targets(), TARGET, collector::add);
            return collector.merge(addresses, price);
        }
    }

    private static ReportFormat format(final Invocation invocation, final Console console)
            throws CliException {
        final Optional<String> name = invocation.text(CliOption.FORMAT);
        if (name.isEmpty()) {
            return console.isJson() ? ReportFormat.JSON : ReportFormat.TEXT;
        }
        return ReportFormat.find(name.get())
                .orElseThrow(
                        () -> new CliException(ExitCode.USAGE, "usage.bad-format", name.get()));
    }

    private static OptionalDouble price(final Invocation invocation) throws CliException {
        final Optional<String> text = invocation.text(CliOption.PRICE);
        if (text.isEmpty()) {
            return OptionalDouble.empty();
        }
        try {
            final double price = Double.parseDouble(text.get());
            if (Double.isFinite(price) && price >= 0) {
                return OptionalDouble.of(price);
            }
        } catch (NumberFormatException e) {
            throw new CliException(ExitCode.USAGE, "usage.bad-price", text.get());
        }
        throw new CliException(ExitCode.USAGE, "usage.bad-price", text.get());
    }

    private static void write(
            final Invocation invocation,
            final Console console,
            final ReportFormat format,
            final FleetReport report)
            throws CliException {
        final Optional<String> file = invocation.text(CliOption.OUT);
        try {
            final String text = format.write(report);
            if (file.isEmpty()) {
                console.text(text);
                return;
            }
            Files.writeString(Path.of(file.get()), text);
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "usage.unwritable", file.orElse("-"));
        }
        console.note("report.written", file.get());
        report.missing().forEach(missing -> console.note("report.missing", missing));
    }

    /** Collects the reports of the daemons and the causes of failed calls. */
    private static final class ReportCollector {
        private final FleetReportMerger mMerge = new FleetReportMerger();
        private final Set<URI> mCollected = new HashSet<>();
        private final Map<URI, String> mFailures = new HashMap<>();

        private void add(final DaemonResult result) {
            if (result.response().isEmpty() || !result.response().get().isOk()) {
                mFailures.put(result.daemon(), result.problem());
                return;
            }
            try {
                final DaemonReport report = DaemonReportJson.read(result.response().get().body());
                mMerge.add(report);
                mCollected.add(report.address());
            } catch (ReportFormatException e) {
                mFailures.put(result.daemon(), result.daemon() + ": " + e.getMessage());
            }
        }

        /** Lists each missing daemon once, by its public address if that is listed. */
        private FleetReport merge(final FleetAddresses addresses, final OptionalDouble price)
                throws CliException {
            if (mMerge.isEmpty()) {
                throw new CliException(
                        ExitCode.UNREACHABLE,
                        "daemon.unreachable",
                        String.join("; ", mFailures.values()));
            }
            addresses
                    .operatorByPublicAddress()
                    .forEach(
                            (publicAddress, operator) -> {
                                if (!mCollected.contains(publicAddress)) {
                                    mMerge.addMissingDaemon(missing(publicAddress, operator));
                                }
                            });
            addresses.operatorByPublicAddress().values().forEach(mFailures::remove);
            mFailures.values().forEach(mMerge::addMissingDaemon);
            mMerge.setPricePerHour(price);
            return mMerge.report();
        }

        private String missing(final URI publicAddress, final URI operator) {
            final String failure = mFailures.get(operator);
            return failure == null
                    ? CliMessages.text("report.not-known", publicAddress)
                    : CliMessages.text("report.not-answered", publicAddress, failure);
        }
    }
}
