package org.whinhead.gateway.endpoint;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.whinhead.gateway.http.ChannelOpener;
import org.whinhead.gateway.http.EventLoopHttpClient;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.reach.AccessPath;

/**
 * HTTP clients for the daemon's own calls to endpoints, on the way that works for each.
 *
 * <p>Responses to these calls don't name their call, and an endpoint may send a second one late: a
 * later call on the same connection would receive it.
 */
public final class EndpointHttpClients {

    /** Endpoints come and go; a client that is dropped costs a connection when used again. */
    private static final int MAX_CLIENTS = 64;

    /** Endpoints answer the daemon's own calls with a few hundred bytes. */
    private static final int MAX_RESPONSE_BYTES = 128 * 1024;

    private final EventLoop mLoop;
    private final EndpointConnector mConnector;
    private final Map<ClientKey, EventLoopHttpClient> mClients = new LinkedHashMap<>();

    /**
     * Creates clients without connections.
     *
     * @param loop the event loop on which all work runs
     * @param connector opens the connections
     */
    public EndpointHttpClients(final EventLoop loop, final EndpointConnector connector) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mConnector = Objects.requireNonNull(connector, "connector");
    }

    /** An endpoint and the way to it: idle connections on another way may lead nowhere. */
    private record ClientKey(String endpoint, AccessPath path) {}

    /**
     * Returns a client of an endpoint.
     *
     * @param endpoint the endpoint
     * @return the client for the way that works now
     */
    public EventLoopHttpClient clientOf(final EndpointEntry endpoint) {
        final AccessPath path = mConnector.reach().pathTo(endpoint.id(), endpoint.service());
        final EventLoopHttpClient client =
                mClients.computeIfAbsent(
                        new ClientKey(endpoint.id(), path),
                        key ->
                                new EventLoopHttpClient(
                                        mLoop,
                                        endpoint.address(),
                                        opener(endpoint),
                                        MAX_RESPONSE_BYTES,
                                        EventLoopHttpClient.NO_IDLE_CONNECTIONS));
        if (mClients.size() > MAX_CLIENTS) {
            mClients.remove(mClients.keySet().iterator().next());
        }
        return client;
    }

    private ChannelOpener opener(final EndpointEntry endpoint) {
        return (handlers, opened, failed) ->
                mConnector.connect(
                        endpoint,
                        handlers,
                        new ConnectListener() {
                            @Override
                            public void connected(final Channel channel, final AccessPath path) {
                                opened.accept(channel);
                            }

                            @Override
                            public void failed(final ConnectFailure failure) {
                                failed.accept(failure.name());
                            }
                        });
    }
}
