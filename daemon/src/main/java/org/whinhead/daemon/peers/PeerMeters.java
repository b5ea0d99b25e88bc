package org.whinhead.daemon.peers;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.ToLongFunction;
import org.whinhead.api.model.VmState;
import org.whinhead.daemon.operator.Meters;
import org.whinhead.peer.PeerCounters;
import org.whinhead.peer.PeerRefusal;

/** The metrics of the peer service. */
public final class PeerMeters {

    private PeerMeters() {}

    /**
     * Registers the metrics.
     *
     * @param meters the registry
     * @param peers the peer service
     */
    public static void register(final Meters meters, final PeerService peers) {
        for (final VmState state : VmState.values()) {
            final String name = state.name().toLowerCase(Locale.ROOT);
            meters.gauge(
                    "whinhead.peers." + name,
                    "daemons",
                    "Daemons that this one sees as " + name + ", itself included.",
                    () -> count(peers, state));
        }
        counter(
                meters,
                peers,
                "refused.connections",
                "Connections of peers that were closed on them, for any reason.",
                PeerMeters::refusals);
        counter(
                meters,
                peers,
                "dropped.messages",
                "Messages that a peer did not take in time.",
                PeerCounters::messagesDropped);
        counter(
                meters,
                peers,
                "sent.bytes",
                "Bytes of messages to peers, before TLS.",
                PeerCounters::bytesSent);
    }

    private static long count(final PeerService peers, final VmState state) {
        return peers.view().daemons().stream()
                .filter(member -> member.vm().state() == state)
                .count();
    }

    private static long refusals(final PeerCounters counters) {
        return Arrays.stream(PeerRefusal.values()).mapToLong(counters::refusals).sum();
    }

    private static void counter(
            final Meters meters,
            final PeerService peers,
            final String name,
            final String description,
            final ToLongFunction<PeerCounters> read) {
        final String unit = name.substring(name.indexOf('.') + 1);
        meters.gauge(
                "whinhead.peers." + name,
                unit,
                description,
                () -> read.applyAsLong(peers.counters()));
    }
}
