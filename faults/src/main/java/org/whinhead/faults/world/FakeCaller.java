package org.whinhead.faults.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.requests.Ticket;

/** A simulated caller that reconnects after a lost connection or a hand-back. */
public final class FakeCaller {

    /** The outcome of the request as the caller sees it. */
    public enum Outcome {
        OPEN,
        WHOLE,
        REFUSED,
        LEFT
    }

    private static final int RECONNECT_MILLIS = 50;
    private static final int MAX_RETRIES = 2;

    private final FakeWorld mWorld;
    private final RequestSpec mSpec;
    private final long mLength;
    private final List<String> mTokens = new ArrayList<>();
    private Optional<Ticket> mTicket = Optional.empty();
    private Optional<Refusal> mRefusal = Optional.empty();
    private Optional<FakeDaemon> mDaemon = Optional.empty();
    private Optional<FakeCallerConnection> mConnection = Optional.empty();
    private Outcome mOutcome = Outcome.OPEN;
    private boolean mLostConnection;
    private int mRetries;

    FakeCaller(final FakeWorld world, final RequestSpec spec, final long length) {
        mWorld = world;
        mSpec = spec;
        mLength = length;
    }

    public RequestId id() {
        return mSpec.id();
    }

    public RequestSpec spec() {
        return mSpec;
    }

    public long length() {
        return mLength;
    }

    public Outcome outcome() {
        return mOutcome;
    }

    public Optional<Refusal> refusal() {
        return mRefusal;
    }

    public List<String> tokens() {
        return mTokens;
    }

    public Optional<FakeDaemon> daemon() {
        return mDaemon;
    }

    /** Returns whether a connection was lost; a later refusal covers the last submission only. */
    boolean hasLostConnection() {
        return mLostConnection;
    }

    boolean isAssignedTo(final FakeDaemon daemon) {
        return mOutcome == Outcome.OPEN && mDaemon.filter(own -> own == daemon).isPresent();
    }

    void onConnected(final FakeCallerConnection connection) {
        mConnection = Optional.of(connection);
    }

    boolean isCurrentConnection(final FakeCallerConnection connection) {
        return mOutcome == Outcome.OPEN && mConnection.filter(own -> own == connection).isPresent();
    }

    void connect() {
        final Optional<FakeDaemon> open = mWorld.randomAcceptingDaemon();
        if (mOutcome != Outcome.OPEN) {
            return;
        }
        if (open.isEmpty()) {
            connectLater();
            return;
        }
        mDaemon = open;
        if (mTicket.isPresent()) {
            open.get().onResume(this, mTicket.get(), mTokens.size(), String.join("", mTokens));
        } else {
            open.get().onRequest(this);
        }
    }

    void connectLater() {
        mWorld.clock().schedule(RECONNECT_MILLIS, this::connect);
    }

    /** Hangs up without a reconnect. */
    public void disconnect() {
        if (mOutcome == Outcome.OPEN) {
            mOutcome = Outcome.LEFT;
            mDaemon.ifPresent(daemon -> daemon.onCallerDisconnected(id()));
        }
    }

    /** Breaks the connection; the caller reconnects to any accepting daemon. */
    public void loseConnection() {
        if (mOutcome == Outcome.OPEN) {
            mLostConnection = true;
            mConnection = Optional.empty();
            mDaemon = Optional.empty();
            connectLater();
        }
    }

    void receiveToken(final String token) {
        mTokens.add(token);
    }

    void receiveTicket(final Ticket ticket) {
        mTicket = Optional.of(ticket);
    }

    void onHandedBack(final Ticket ticket, final Duration after) {
        mTicket = Optional.of(ticket);
        mDaemon = Optional.empty();
        mWorld.clock().schedule(after.toMillis(), this::connect);
    }

    void onComplete() {
        mOutcome = Outcome.WHOLE;
    }

    void onRefused(final Refusal refusal) {
        mRefusal = Optional.of(refusal);
        final boolean notRun = refusal.verdict() == Verdict.NOT_RUN;
        if (notRun && !mLostConnection && mWorld.runCount(id()) > 0) {
            throw new AssertionError("refused as not run, but ran: " + id());
        }
        final boolean shouldRetry = notRun && refusal.retryAfter().isPresent() && mTicket.isEmpty();
        if (shouldRetry && mRetries < MAX_RETRIES) {
            mRetries++;
            mDaemon = Optional.empty();
            mWorld.clock().schedule(refusal.retryAfter().get().toMillis(), this::connect);
        } else {
            mOutcome = Outcome.REFUSED;
        }
    }

    @Override
    public String toString() {
        return mWorld.describe(id());
    }
}
