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

/** A caller that comes back when it is cut off or sent away, and checks what it is given. */
public final class FakeCaller {

    /** How its request ended for it. */
    public enum End {
        OPEN,
        WHOLE,
        REFUSED,
        LEFT
    }

    private static final int RECONNECT_MILLIS = 50;
    private static final int MAX_REPEATS = 2;

    private final FakeWorld mWorld;
    private final RequestSpec mSpec;
    private final long mLength;
    private final List<String> mTokens = new ArrayList<>();
    private Optional<Ticket> mTicket = Optional.empty();
    private Optional<Refusal> mRefusal = Optional.empty();
    private Optional<FakeDaemon> mDaemon = Optional.empty();
    private Optional<FakeConnection> mConnection = Optional.empty();
    private End mEnd = End.OPEN;
    private boolean mCutOff;
    private int mRepeats;

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

    public End end() {
        return mEnd;
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

    /** Tells whether an earlier submission was cut off, so that a later one knows less. */
    boolean wasCutOff() {
        return mCutOff;
    }

    boolean wants(final FakeDaemon from) {
        return mEnd == End.OPEN && mDaemon.filter(daemon -> daemon == from).isPresent();
    }

    void connected(final FakeConnection connection) {
        mConnection = Optional.of(connection);
    }

    boolean listensAt(final FakeConnection connection) {
        return mEnd == End.OPEN && mConnection.filter(own -> own == connection).isPresent();
    }

    void connect() {
        final Optional<FakeDaemon> open = mWorld.openDaemon();
        if (mEnd != End.OPEN) {
            return;
        }
        if (open.isEmpty()) {
            connectLater();
            return;
        }
        mDaemon = open;
        if (mTicket.isPresent()) {
            open.get().returned(this, mTicket.get(), mTokens.size(), String.join("", mTokens));
        } else {
            open.get().arrived(this);
        }
    }

    void connectLater() {
        mWorld.time().after(RECONNECT_MILLIS, this::connect);
    }

    /** Hangs up for good. */
    public void leave() {
        if (mEnd == End.OPEN) {
            mEnd = End.LEFT;
            mDaemon.ifPresent(daemon -> daemon.callerLeft(id()));
        }
    }

    /** The connection broke; the caller tries another daemon. */
    public void cutOff() {
        if (mEnd == End.OPEN) {
            mCutOff = true;
            mConnection = Optional.empty();
            mDaemon = Optional.empty();
            connectLater();
        }
    }

    void take(final String token) {
        mTokens.add(token);
    }

    void takeTicket(final Ticket ticket) {
        mTicket = Optional.of(ticket);
    }

    void sentAway(final Ticket ticket, final Duration after) {
        mTicket = Optional.of(ticket);
        mDaemon = Optional.empty();
        mWorld.time().after(after.toMillis(), this::connect);
    }

    void whole() {
        mEnd = End.WHOLE;
    }

    void refused(final Refusal refusal) {
        mRefusal = Optional.of(refusal);
        final boolean notRun = refusal.verdict() == Verdict.NOT_RUN;
        if (notRun && !mCutOff && mWorld.runs(id()) > 0) {
            throw new AssertionError("refused as not run, but ran: " + id());
        }
        final boolean again = notRun && refusal.retryAfter().isPresent() && mTicket.isEmpty();
        if (again && mRepeats < MAX_REPEATS) {
            mRepeats++;
            mDaemon = Optional.empty();
            mWorld.time().after(refusal.retryAfter().get().toMillis(), this::connect);
        } else {
            mEnd = End.REFUSED;
        }
    }

    @Override
    public String toString() {
        return mWorld.describe(id());
    }
}
