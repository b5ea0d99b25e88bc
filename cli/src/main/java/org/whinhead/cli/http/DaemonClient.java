package org.whinhead.cli.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinhead.cli.CliException;
import org.whinhead.cli.ExitCode;

/** Calls the first daemon that answers, in the order in which they are named. */
public final class DaemonClient implements AutoCloseable {

    private static final int UNAVAILABLE = 503;

    private final List<URI> mDaemons;
    private final Optional<String> mKey;
    private final OperatorHttpClient mExchange;

    /**
     * Makes a client.
     *
     * @param daemons the daemons' operator addresses, at least one
     * @param key the operator's key, if any
     * @param exchange makes the calls; closed with the client
     */
    public DaemonClient(
            final List<URI> daemons,
            final Optional<String> key,
            final OperatorHttpClient exchange) {
        mDaemons = List.copyOf(daemons);
        mKey = key;
        mExchange = exchange;
    }

    /**
     * Asks for something.
     *
     * @param target path and query
     * @return the answer of the first daemon that gives one
     * @throws CliException if none does
     */
    public OperatorResponse get(final String target) throws CliException {
        return call(Methods.GET, target, "");
    }

    /**
     * Sends a change, to several daemons if need be. The body must name the change, so that a
     * daemon that gets it after another one does not make it again.
     *
     * @param target the path
     * @param body the change
     * @return the answer of the first daemon that gives one
     * @throws CliException if none does
     */
    public OperatorResponse post(final String target, final JsonNode body) throws CliException {
        return call(Methods.POST, target, body.toString());
    }

    private OperatorResponse call(final HttpString method, final String target, final String body)
            throws CliException {
        final List<String> failures = new ArrayList<>();
        Optional<OperatorResponse> unavailable = Optional.empty();
        boolean mayHaveArrived = false;
        for (final URI daemon : mDaemons) {
            try {
                final OperatorResponse answer = mExchange.call(daemon, method, target, mKey, body);
                if (answer.status() != UNAVAILABLE) {
                    return answer;
                }
                unavailable = Optional.of(answer);
                failures.add(daemon + ": status " + UNAVAILABLE);
            } catch (HttpCallException e) {
                mayHaveArrived |= e.mayHaveArrived();
                failures.add(daemon + ": " + e.getMessage());
            }
        }
        // A change whose answer was lost may be in force, whatever a later daemon says of its own
        // try; only the same change sent again can tell.
        if (unavailable.isPresent() && !mayHaveArrived) {
            return unavailable.get();
        }
        final boolean changeLost = mayHaveArrived && method.equals(Methods.POST);
        throw new CliException(
                ExitCode.UNREACHABLE,
                changeLost ? "daemon.change-lost" : "daemon.unreachable",
                String.join("; ", failures));
    }

    @Override
    public void close() {
        mExchange.close();
    }
}
