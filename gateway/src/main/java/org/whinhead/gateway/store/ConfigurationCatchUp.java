package org.whinhead.gateway.store;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.configuration.ConfigurationProgress;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.member.Relay;

/**
 * Takes the configuration from another daemon if a newer one is in force elsewhere and this
 * daemon's own way to the store doesn't bring it.
 *
 * <p>The daemon that sends it passes on the store's record unchanged, and versions only grow, so a
 * copy can't bring back what a newer version has changed.
 */
public final class ConfigurationCatchUp {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationCatchUp.class);

    /** The own read that follows the news takes a few milliseconds if the store answers. */
    private static final Duration OWN_READ_TIME = Duration.ofMillis(250);

    /** The daemons asked in a row; the store may turn many away at the same time. */
    private static final int MAX_ASKED = 4;

    /** Asks a daemon for a configuration that is newer than a version. */
    public interface Source {

        /**
         * Asks a daemon.
         *
         * @param daemon the daemon
         * @param version the version that this daemon has
         * @param onAnswer receives the record's value; empty without a newer one
         */
        void fetch(Relay daemon, long version, Consumer<Optional<byte[]>> onAnswer);
    }

    private final ServingState mState;
    private final MemberTable mMembers;
    private final Source mSource;
    private final ConfigurationTopicListener mListener;
    private final Random mRandom;
    private boolean mAsking;

    /**
     * Creates an object that has asked nobody.
     *
     * @param state tells whether this daemon is behind
     * @param members the daemons to ask
     * @param source asks them
     * @param listener applies the record
     * @param random the source of the order in which they are asked
     */
    public ConfigurationCatchUp(
            final ServingState state,
            final MemberTable members,
            final Source source,
            final ConfigurationTopicListener listener,
            final Random random) {
        mState = Objects.requireNonNull(state, "state");
        mMembers = Objects.requireNonNull(members, "members");
        mSource = Objects.requireNonNull(source, "source");
        mListener = Objects.requireNonNull(listener, "listener");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /** Asks other daemons if this one is behind; must be called several times a second. */
    public void tick() {
        final Instant now = mState.clock().instant();
        if (mAsking || progress().behindFor(now).compareTo(OWN_READ_TIME) < 0) {
            return;
        }
        final List<Relay> daemons = new ArrayList<>(mMembers.relays(now));
        Collections.shuffle(daemons, mRandom);
        mAsking = true;
        askNext(new ArrayDeque<>(daemons.subList(0, Math.min(MAX_ASKED, daemons.size()))));
    }

    private ConfigurationProgress progress() {
        return mState.configurationProgress();
    }

    private void askNext(final Deque<Relay> left) {
        final Relay daemon = left.poll();
        if (daemon == null || !progress().isBehind()) {
            mAsking = false;
            return;
        }
        mSource.fetch(daemon, progress().version(), answer -> answered(daemon, answer, left));
    }

    private void answered(
            final Relay daemon, final Optional<byte[]> answer, final Deque<Relay> left) {
        if (answer.isPresent()) {
            LOG.atInfo()
                    .addKeyValue("daemon", daemon.daemon())
                    .addKeyValue("bytes", answer.get().length)
                    .addKeyValue("readFailure", progress().readFailure().orElse("none"))
                    .log("configuration taken from daemon");
            GuardedTask.run(LOG, "apply copy", () -> mListener.applyCopy(answer.get()));
        }
        askNext(left);
    }
}
