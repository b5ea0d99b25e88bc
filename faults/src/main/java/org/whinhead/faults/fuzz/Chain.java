package org.whinhead.faults.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.whinhead.faults.world.FakeWorld;

/**
 * A sequence of moves in one world.
 *
 * @param seed the seed of the world
 * @param links the moves in order
 */
public record Chain(long seed, List<Link> links) {

    /** The most moves in a chain. */
    public static final int MAX_LINKS = 60;

    private static final int MAX_NUMBER = 100;
    private static final List<Move> COMMON = List.of(Move.CHAT, Move.CALL, Move.WAIT);

    /** Copies the moves. */
    public Chain {
        links = List.copyOf(links);
    }

    /** Draws a chain. */
    public static Chain draw(final long seed) {
        final SplittableRandom random = new SplittableRandom(seed);
        final int length = 1 + random.nextInt(MAX_LINKS);
        final List<Link> links = new ArrayList<>();
        for (int link = 0; link < length; link++) {
            final List<Move> moves = random.nextBoolean() ? COMMON : List.of(Move.values());
            final Move move = moves.get(random.nextInt(moves.size()));
            links.add(new Link(move, random.nextInt(MAX_NUMBER + 1)));
        }
        return new Chain(seed, links);
    }

    /** Plays the chain; returns what broke. */
    public Optional<Throwable> play() {
        try {
            final FakeWorld world = new FakeWorld(seed, 2, 3, 2);
            links.forEach(link -> link.move().happen(world, link.number()));
            world.settleAndCheck();
            return Optional.empty();
        } catch (final AssertionError | RuntimeException broken) {
            return Optional.of(broken);
        }
    }

    /** Takes moves out, first many at a time, as long as something still breaks. */
    public Chain shrunk() {
        Chain least = this;
        for (int size = Math.max(1, links.size() / 2); size > 0; size /= 2) {
            least = least.withoutRunsOf(size);
        }
        return least;
    }

    private Chain withoutRunsOf(final int size) {
        Chain least = this;
        int from = 0;
        while (from < least.links.size()) {
            final List<Link> rest = new ArrayList<>(least.links);
            rest.subList(from, Math.min(rest.size(), from + size)).clear();
            final Chain candidate = new Chain(seed, rest);
            if (candidate.play().isPresent()) {
                least = candidate;
            } else {
                from += size;
            }
        }
        return least;
    }

    @Override
    public String toString() {
        return links.stream().map(Link::toString).collect(Collectors.joining("\n  ", "  ", ""));
    }

    /**
     * One move of a chain.
     *
     * @param move what happens
     * @param number to which of them, or how much
     */
    public record Link(Move move, int number) {
        @Override
        public String toString() {
            return move + " " + number;
        }
    }
}
