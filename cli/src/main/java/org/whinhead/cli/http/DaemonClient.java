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

/** Calls the named daemons in order until one responds. */
public final class DaemonClient implements AutoCloseable {

    private static final int SERVICE_UNAVAILABLE = 503;

    private final List<URI> mDaemons;
    private final Optional<String> mKey;
    private final OperatorHttpClient mHttpClient;

    /**
     * Creates a client.
     *
     * @param daemons the daemons' operator addresses, at least one
     * @param key the operator's key, if any
     * @param httpClient the HTTP client, closed with this client
     */
    public DaemonClient(
            final List<URI> daemons,
            final Optional<String> key,
            final OperatorHttpClient httpClient) {
        mDaemons = List.copyOf(daemons);
        mKey = key;
        mHttpClient = httpClient;
    }

    /**
     * Sends a GET request.
     *
     * @param target the path and query
     * @return the first response other than 503, or a 503 if no other came
     * @throws CliException if no daemon responds
     */
    public OperatorResponse get(final String target) throws CliException {
        return call(Methods.GET, target, "");
    }

    /**
     * Sends a change, to several daemons if necessary. The body must contain an id of the change,
     * so that a daemon does not apply a change again that another daemon has already applied.
     *
     * @param target the path
     * @param body the change
     * @return the first response other than 503, or a 503 if no other came
     * @throws CliException if no daemon responds
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
                final OperatorResponse response =
                        mHttpClient.call(daemon, method, target, mKey, body);
                if (response.status() != SERVICE_UNAVAILABLE) {
                    return response;
                }
                unavailable = Optional.of(response);
                failures.add(daemon + ": status " + SERVICE_UNAVAILABLE);
            } catch (HttpCallException e) {
                mayHaveArrived |= e.mayHaveArrived();
                failures.add(daemon + ": " + e.getMessage());
            }
        }
        // After a lost response, the change may be in force even if a later daemon responds with
        // 503; only sending the same change again shows its result.
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
        mHttpClient.close();
    }
}
