package org.whinhead.faults.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.whinhead.faults.world.FakeWorld;

/**
 * A sequence of actions in one simulated world.
 *
 * @param seed the seed of the world and of the generated sequence
 * @param entries the actions in order
 */
public record ActionSequence(long seed, List<Entry> entries) {

    /** The maximum number of actions in a generated sequence. */
    public static final int MAX_ACTIONS = 60;

    private static final int MAX_ARGUMENT = 100;
    private static final List<FuzzAction> COMMON =
            List.of(FuzzAction.CHAT, FuzzAction.CALL, FuzzAction.WAIT);

    /** Creates a sequence with a copy of the entries. */
    public ActionSequence {
        entries = List.copyOf(entries);
    }

    /** Returns a random sequence; the same seed gives the same sequence. */
    public static ActionSequence generate(final long seed) {
        final SplittableRandom random = new SplittableRandom(seed);
        final int length = 1 + random.nextInt(MAX_ACTIONS);
        final List<Entry> generated = new ArrayList<>();
        for (int index = 0; index < length; index++) {
            final List<FuzzAction> candidates =
                    random.nextBoolean() ? COMMON : List.of(FuzzAction.values());
            final FuzzAction action = candidates.get(random.nextInt(candidates.size()));
            generated.add(new Entry(action, random.nextInt(MAX_ARGUMENT + 1)));
        }
        return new ActionSequence(seed, generated);
    }

    /** Runs the sequence and the final checks; returns the failure, or empty if all checks hold. */
    public Optional<Throwable> run() {
        try {
            final FakeWorld world = new FakeWorld(seed, 2, 3, 2);
            entries.forEach(entry -> entry.action().apply(world, entry.argument()));
            world.settleAndCheck();
            return Optional.empty();
        } catch (final AssertionError | RuntimeException failure) {
            return Optional.of(failure);
        }
    }

    /** Returns a shorter sequence that still fails; removes runs of entries, the longest first. */
    public ActionSequence shrink() {
        ActionSequence shortest = this;
        for (int size = Math.max(1, entries.size() / 2); size > 0; size /= 2) {
            shortest = shortest.removeRunsOf(size);
        }
        return shortest;
    }

    private ActionSequence removeRunsOf(final int size) {
        ActionSequence shortest = this;
        int from = 0;
        while (from < shortest.entries.size()) {
            final List<Entry> remaining = new ArrayList<>(shortest.entries);
            remaining.subList(from, Math.min(remaining.size(), from + size)).clear();
            final ActionSequence candidate = new ActionSequence(seed, remaining);
            if (candidate.run().isPresent()) {
                shortest = candidate;
            } else {
                from += size;
            }
        }
        return shortest;
    }

    @Override
    public String toString() {
        return entries.stream().map(Entry::toString).collect(Collectors.joining("\n  ", "  ", ""));
    }

    /**
     * One action of a sequence.
     *
     * @param action the action
     * @param argument the index of the affected object, or an amount; the action defines which
     */
    public record Entry(FuzzAction action, int argument) {
        @Override
        public String toString() {
            return action + " " + argument;
        }
    }
}
