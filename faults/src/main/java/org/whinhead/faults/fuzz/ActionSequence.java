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
public record ActionSequence(long seed, List<Entry> entries) {

    /** The most moves in a chain. */
    public static final int MAX_ACTIONS = 60;

    private static final int MAX_ARGUMENT = 100;
    private static final List<FuzzAction> COMMON =
            List.of(FuzzAction.CHAT, FuzzAction.CALL, FuzzAction.WAIT);

    /** Copies the moves. */
    public ActionSequence {
        entries = List.copyOf(entries);
    }

    /** Draws a chain. */
    public static ActionSequence generate(final long seed) {
        final SplittableRandom random = new SplittableRandom(seed);
        final int length = 1 + random.nextInt(MAX_ACTIONS);
        final List<Entry> links = new ArrayList<>();
        for (int link = 0; link < length; link++) {
            final List<FuzzAction> moves =
                    random.nextBoolean() ? COMMON : List.of(FuzzAction.values());
            final FuzzAction move = moves.get(random.nextInt(moves.size()));
            links.add(new Entry(move, random.nextInt(MAX_ARGUMENT + 1)));
        }
        return new ActionSequence(seed, links);
    }

    /** Plays the chain; returns what broke. */
    public Optional<Throwable> run() {
        try {
            final FakeWorld world = new FakeWorld(seed, 2, 3, 2);
            entries.forEach(link -> link.action().apply(world, link.argument()));
            world.settleAndCheck();
            return Optional.empty();
        } catch (final AssertionError | RuntimeException broken) {
            return Optional.of(broken);
        }
    }

    /** Takes moves out, first many at a time, as long as something still breaks. */
    public ActionSequence shrink() {
        ActionSequence least = this;
        for (int size = Math.max(1, entries.size() / 2); size > 0; size /= 2) {
            least = least.removeRunsOf(size);
        }
        return least;
    }

    private ActionSequence removeRunsOf(final int size) {
        ActionSequence least = this;
        int from = 0;
        while (from < least.entries.size()) {
            final List<Entry> rest = new ArrayList<>(least.entries);
            rest.subList(from, Math.min(rest.size(), from + size)).clear();
            final ActionSequence candidate = new ActionSequence(seed, rest);
            if (candidate.run().isPresent()) {
                least = candidate;
            } else {
                from += size;
            }
        }
        return least;
    }

    @Override
    public String toString() {
        return entries.stream().map(Entry::toString).collect(Collectors.joining("\n  ", "  ", ""));
    }

    /**
     * One move of a chain.
     *
     * @param move what happens
     * @param number to which of them, or how much
     */
    public record Entry(FuzzAction action, int argument) {
        @Override
        public String toString() {
            return action + " " + argument;
        }
    }
}
