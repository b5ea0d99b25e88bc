package org.whinhead.gateway.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.reach.AccessPath;

/**
 * Finds out whether an endpoint accepts another connection and keeps it open for a moment.
 *
 * <p>The connection is kept for a later request. It may be one beyond this daemon's part: a crash
 * would not be found otherwise.
 */
final class EndpointProbe {

    /**
     * The time for which a connection must stay open that shows that an endpoint is up. A process
     * that ends may close its port some milliseconds after its connections.
     */
    private static final int OPEN_MILLIS = 25;

    /** The probes of which all but the last may end with their relay, which tells nothing. */
    private static final int MAX_PROBES = 3;

    /** An endpoint that is up refuses or resets a connection within less; a silent one does not. */
    private static final Duration QUICK_FAILURE = Duration.ofMillis(100);

    private final EndpointConnections mConnections;
    private final EndpointEntry mEndpoint;
    private final Runnable mAccepted;
    private final Consumer<ConnectFailure> mFailed;
    private int mProbesLeft = MAX_PROBES;
    private Instant mStartedAt;

    /**
     * Creates a probe.
     *
     * @param connections opens the connections and knows the others
     * @param endpoint the endpoint
     * @param accepted runs if it keeps a connection open
     * @param failed receives the reason if no connection can be made
     */
    EndpointProbe(
            final EndpointConnections connections,
            final EndpointEntry endpoint,
            final Runnable accepted,
            final Consumer<ConnectFailure> failed) {
        mConnections = connections;
        mEndpoint = endpoint;
        mAccepted = accepted;
        mFailed = failed;
    }

    void start() {
        if (mProbesLeft == 0) {
            mFailed.accept(ConnectFailure.PATH);
            return;
        }
        mProbesLeft--;
        mStartedAt = mConnections.now();
        mConnections.connect(
                mEndpoint,
                connection -> afterMoment(connection, () -> settled(connection)),
                this::notConnected);
    }

    private static void afterMoment(final EndpointConnection connection, final Runnable task) {
        connection.channel().eventLoop().schedule(task, OPEN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void settled(final EndpointConnection connection) {
        if (connection.hasRelayEnded()) {
            start();
        } else if (connection.isUsable()) {
            connection.release();
            mAccepted.run();
        } else if (connection.isOverlong() || keepsEarlierConnection()) {
            mAccepted.run();
        } else if (connection.path() == AccessPath.DIRECT) {
            confirmThroughAnotherDaemon();
        } else {
            mFailed.accept(ConnectFailure.ENDPOINT);
        }
    }

    /**
     * Returns whether the endpoint may have ended the connection because it was one beyond its
     * limit; one that crashes ends its other connections as well.
     */
    private boolean keepsEarlierConnection() {
        return earlierConnection().isPresent();
    }

    private Optional<EndpointConnection> earlierConnection() {
        return mConnections.isLimited()
                ? mConnections.openedBefore(mEndpoint, mStartedAt)
                : Optional.empty();
    }

    /** Some connections beyond an endpoint's limit are reset before they are established. */
    private void notConnected(final ConnectFailure failure) {
        final Duration taken = Duration.between(mStartedAt, mConnections.now());
        final Optional<EndpointConnection> earlier = earlierConnection();
        if (taken.compareTo(QUICK_FAILURE) < 0 && earlier.isPresent()) {
            afterMoment(
                    earlier.get(),
                    () -> {
                        if (keepsEarlierConnection()) {
                            mAccepted.run();
                        } else {
                            mFailed.accept(failure);
                        }
                    });
        } else {
            mFailed.accept(failure);
        }
    }

    /** Something on this daemon's own way may accept connections for the endpoint and end them. */
    private void confirmThroughAnotherDaemon() {
        mConnections.connectThroughAnotherDaemon(
                mEndpoint,
                connection -> afterMoment(connection, () -> relayedSettled(connection)),
                () -> mFailed.accept(ConnectFailure.ENDPOINT));
    }

    private void relayedSettled(final EndpointConnection connection) {
        if (connection.isUsable()) {
            connection.release();
            mAccepted.run();
        } else {
            mFailed.accept(
                    connection.hasRelayEnded() ? ConnectFailure.PATH : ConnectFailure.ENDPOINT);
        }
    }
}
