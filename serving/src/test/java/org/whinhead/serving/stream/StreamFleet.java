package org.whinhead.serving.stream;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.whinhead.serving.member.Member;

/**
 * Daemons that tell each other of streams and ask for them, in simulated time: messages are lost,
 * daemons are killed together and start again empty, and those that were killed a moment ago still
 * count as up.
 */
final class StreamFleet {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration KEPT = Duration.ofSeconds(20);
    private static final List<String> VERSIONS = List.of("v1", "v1.1", "v1.2");
    private static final int ASKS = 2;

    private final Random mRandom;
    private final int mCopies;
    private final double mLoss;
    private final List<Member> mDaemons = new ArrayList<>();
    private final List<KnownStreams> mKnown = new ArrayList<>();
    private Instant mNow = START;
    private int mResumed;
    private int mFound;
    private int mJoined;
    private long mTold;
    private long mStreams;
    private long mAsked;

    /**
     * Creates daemons that know no streams.
     *
     * @param daemons the number of daemons
     * @param domains the number of failure domains
     * @param copies the daemons that are told of a stream
     * @param loss the share of messages that are lost
     * @param seed the seed of the random choices
     */
    StreamFleet(
            final int daemons,
            final int domains,
            final int copies,
            final double loss,
            final long seed) {
        mRandom = new Random(seed);
        mCopies = copies;
        mLoss = loss;
        for (int number = 0; number < daemons; number++) {
            final InetSocketAddress address = InetSocketAddress.createUnresolved("daemon", 1);
            mDaemons.add(
                    new Member(
                            "daemon-" + number,
                            "i",
                            "domain-" + number % domains,
                            address,
                            address));
            mKnown.add(new KnownStreams());
        }
    }

    private record Stream(StreamKey key, StreamOrigin origin, int daemon) {}

    private Stream begin() {
        final int daemon = mRandom.nextInt(mDaemons.size());
        final Stream stream =
                new Stream(
                        new StreamKey(mRandom.nextInt(40), mRandom.nextLong(), mRandom.nextLong()),
                        new StreamOrigin("pool", VERSIONS.get(mRandom.nextInt(VERSIONS.size()))),
                        daemon);
        final StreamRecord record = new StreamRecord(stream.key(), stream.origin(), KEPT);
        mKnown.get(daemon).add(record, mNow);
        mStreams++;
        for (final Member holder :
                StreamHolders.toTell(stream.key(), othersThan(daemon), mCopies)) {
            mTold++;
            if (isDelivered()) {
                mKnown.get(mDaemons.indexOf(holder)).add(record, mNow);
            }
        }
        return stream;
    }

    private List<Member> othersThan(final int daemon) {
        final List<Member> others = new ArrayList<>(mDaemons);
        others.remove(daemon);
        return others;
    }

    private boolean isDelivered() {
        return mRandom.nextDouble() >= mLoss;
    }

    /**
     * Lets streams begin, kills a share of the daemons together, and lets the callers of streams
     * whose daemon was killed resume them at the others.
     *
     * @param streams the number of streams
     * @param killedShare the share of the daemons that is killed, at least one
     */
    StreamFleet playKills(final int streams, final double killedShare) {
        final Set<Integer> killed = new HashSet<>();
        final int count =
                Math.min(
                        Math.max((int) Math.round(mDaemons.size() * killedShare), 1),
                        mDaemons.size() - 1);
        while (killed.size() < count) {
            killed.add(mRandom.nextInt(mDaemons.size()));
        }
        return play(streams, killed);
    }

    /** Does the same with all daemons of one failure domain. */
    StreamFleet playLossOfDomain(final int streams) {
        final String domain = mDaemons.get(mRandom.nextInt(mDaemons.size())).domain();
        final Set<Integer> killed = new HashSet<>();
        for (int number = 0; number < mDaemons.size(); number++) {
            if (mDaemons.get(number).domain().equals(domain)) {
                killed.add(number);
            }
        }
        return play(streams, killed);
    }

    private StreamFleet play(final int streams, final Set<Integer> killed) {
        final List<Stream> broken = new ArrayList<>();
        for (int number = 0; number < streams; number++) {
            final Stream stream = begin();
            if (killed.contains(stream.daemon())) {
                broken.add(stream);
            }
        }
        mNow = mNow.plusSeconds(1);
        killed.forEach(number -> mKnown.set(number, new KnownStreams()));
        for (final Stream stream : broken) {
            resume(stream, killed);
        }
        mNow = mNow.plus(KEPT);
        return this;
    }

    /** Resumes a stream at a daemon that was not killed. */
    private void resume(final Stream stream, final Set<Integer> silent) {
        int daemon = mRandom.nextInt(mDaemons.size());
        while (silent.contains(daemon)) {
            daemon = mRandom.nextInt(mDaemons.size());
        }
        mResumed++;
        final StreamLookup lookup = lookup(stream.key(), daemon, silent);
        if (lookup.origin().isPresent()) {
            mFound++;
            mJoined += lookup.origin().get().equals(stream.origin()) ? 0 : 1;
        }
    }

    private StreamLookup lookup(final StreamKey key, final int daemon, final Set<Integer> silent) {
        StreamLookup found = mKnown.get(daemon).lookup(key, mNow);
        final List<Member> asked = StreamHolders.toAsk(key, othersThan(daemon));
        for (int ask = 0; ask < ASKS; ask++) {
            for (final Member holder : asked) {
                final int number = mDaemons.indexOf(holder);
                mAsked++;
                if (!silent.contains(number)
                        && isDelivered()
                        && isDelivered()
                        && found.equals(StreamLookup.UNKNOWN)) {
                    found = mKnown.get(number).lookup(key, mNow);
                }
            }
        }
        return found;
    }

    /** Returns the share of the resumed streams whose origin was found. */
    double foundShare() {
        return mResumed == 0 ? 1 : (double) mFound / mResumed;
    }

    int resumed() {
        return mResumed;
    }

    int joined() {
        return mJoined;
    }

    /** Returns the messages that each stream takes at its begin. */
    double messagesPerStream() {
        return (double) mTold / mStreams;
    }

    /** Returns the messages that each resumption takes, with all repeats. */
    double messagesPerResumption() {
        return mResumed == 0 ? 0 : (double) mAsked / mResumed;
    }
}
