package org.whinhead.gateway.exchange;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.whinhead.serving.ratelimit.Permit;
import org.whinhead.serving.ratelimit.PermitListener;

/** Holds back the attempts of one request until endpoints that name a limit may get them. */
final class PermitGate {

    /**
     * The delay after which a permit is void: the process stood still, or a connection took long,
     * and the owner has granted the times after it to others.
     */
    private static final Duration MAX_DELAY = Duration.ofMillis(250);

    private final ServingState mState;
    private final EventLoop mLoop;
    private Permit mPermit = () -> {};
    private Optional<Instant> mDue = Optional.empty();
    private int mPassId;

    PermitGate(final ServingState state, final EventLoop loop) {
        mState = Objects.requireNonNull(state, "state");
        mLoop = Objects.requireNonNull(loop, "loop");
    }

    private Instant now() {
        return mState.clock().instant();
    }

    /**
     * Lets an attempt pass once it may be sent to an endpoint.
     *
     * @param endpoint the endpoint's id
     * @param maxWait the longest wait
     * @param passed runs once the attempt may be sent, unless {@link #leave} is called before
     * @param denied runs if it may not be sent in time
     */
    void enter(
            final String endpoint,
            final Duration maxWait,
            final Runnable passed,
            final Runnable denied) {
        leave();
        if (mState.requestLimits().limit(endpoint).isEmpty()) {
            passed.run();
            return;
        }
        final int passId = mPassId;
        mState.permits()
                .claim(
                        endpoint,
                        maxWait,
                        new PermitListener() {
                            @Override
                            public void granted(final Duration wait, final Permit permit) {
                                if (passId != mPassId) {
                                    permit.giveBack();
                                    return;
                                }
                                mPermit = permit;
                                mDue = Optional.of(now().plus(wait));
                                passAfter(wait, passId, passed);
                            }

                            @Override
                            public void denied() {
                                if (passId == mPassId) {
                                    denied.run();
                                }
                            }
                        },
                        now());
    }

    private void passAfter(final Duration wait, final int passId, final Runnable passed) {
        if (wait.isZero()) {
            passed.run();
            return;
        }
        mLoop.schedule(
                () -> {
                    if (passId == mPassId) {
                        passed.run();
                    }
                },
                wait.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    /** Returns whether the permit of the attempt that has passed is void. */
    boolean isLate() {
        return mDue.filter(due -> now().isAfter(due.plus(MAX_DELAY))).isPresent();
    }

    /** Records that the attempt that has passed is about to be sent. */
    void attemptSent() {
        mPermit = () -> {};
    }

    /** Ends the wait of an attempt, and gives back the permit of one that was not sent. */
    void leave() {
        mPassId++;
        mDue = Optional.empty();
        final Permit unused = mPermit;
        mPermit = () -> {};
        unused.giveBack();
    }
}
