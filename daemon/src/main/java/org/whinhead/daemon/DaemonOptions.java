package org.whinhead.daemon;

import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.daemon.log.AdvancingClock;
import org.whinhead.daemon.log.LogServiceSettings;
import org.whinhead.requests.RequestSettings;
import org.whinhead.requests.TicketCodec;
import org.whinhead.requests.TicketKey;
import org.xnio.XnioWorker;

/**
 * The resources and limits of a daemon beside its settings.
 *
 * @param worker the IO threads, which may be shared and are not closed with the daemon
 * @param clock the clock; it never goes backward and keeps advancing while the VM is suspended
 * @param tickets the codec of tickets, with the keys that all daemons of a deployment share
 * @param bodyTimeout the longest time that a caller's body may take to arrive
 * @param log the limits of the log service
 * @param requests the timeouts and retry limits of requests
 */
public record DaemonOptions(
        XnioWorker worker,
        InstantSource clock,
        TicketCodec tickets,
        Duration bodyTimeout,
        LogServiceSettings log,
        RequestSettings requests) {

    private static final Duration DEFAULT_BODY_TIMEOUT = Duration.ofSeconds(10);
    private static final int SECRET_BYTES = 32;

    /** Checks every part. */
    public DaemonOptions {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(tickets, "tickets");
        Arguments.requirePositive(bodyTimeout, "bodyTimeout");
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(requests, "requests");
    }

    /**
     * Returns the options used in production, with a random ticket key that no other process has.
     *
     * @param worker the IO threads
     * @return the options
     */
    public static DaemonOptions on(final XnioWorker worker) {
        final byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        final TicketCodec tickets = new TicketCodec(List.of(new TicketKey("own", secret)));
        final InstantSource clock = new AdvancingClock(InstantSource.system(), System::nanoTime);
        return new DaemonOptions(
                worker,
                clock,
                tickets,
                DEFAULT_BODY_TIMEOUT,
                LogServiceSettings.DEFAULT,
                RequestSettings.builder().build());
    }

    /**
     * Returns these options with another body timeout.
     *
     * @param timeout the longest time that a caller's body may take to arrive
     * @return a copy
     */
    public DaemonOptions withBodyTimeout(final Duration timeout) {
        return new DaemonOptions(worker, clock, tickets, timeout, log, requests);
    }

    /**
     * Returns these options with the deployment's ticket keys.
     *
     * @param codec the codec with the shared keys
     * @return a copy
     */
    public DaemonOptions withTickets(final TicketCodec codec) {
        return new DaemonOptions(worker, clock, codec, bodyTimeout, log, requests);
    }

    /**
     * Returns these options with other limits of the log service.
     *
     * @param settings the limits
     * @return a copy
     */
    public DaemonOptions withLog(final LogServiceSettings settings) {
        return new DaemonOptions(worker, clock, tickets, bodyTimeout, settings, requests);
    }

    /**
     * Returns these options with other timeouts and retry limits of requests.
     *
     * @param settings the settings
     * @return a copy
     */
    public DaemonOptions withRequests(final RequestSettings settings) {
        return new DaemonOptions(worker, clock, tickets, bodyTimeout, log, settings);
    }
}
