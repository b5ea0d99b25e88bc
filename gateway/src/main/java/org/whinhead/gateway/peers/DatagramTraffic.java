package org.whinhead.gateway.peers;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.Datagram.ContentCase;

/**
 * Counts the datagrams to and from other daemons and their bytes, by direction and kind; used on
 * the event loop only.
 */
public final class DatagramTraffic {

    private final Map<ContentCase, Tally> mSent = new EnumMap<>(ContentCase.class);
    private final Map<ContentCase, Tally> mReceived = new EnumMap<>(ContentCase.class);

    /** Counts a datagram that is sent to some receivers. */
    void recordSent(final Datagram datagram, final int bytes, final int receivers) {
        tally(mSent, datagram).add(receivers, (long) bytes * receivers);
    }

    /** Counts a datagram that was received. */
    void recordReceived(final Datagram datagram, final int bytes) {
        tally(mReceived, datagram).add(1, bytes);
    }

    private static Tally tally(final Map<ContentCase, Tally> tallies, final Datagram datagram) {
        return tallies.computeIfAbsent(datagram.getContentCase(), kind -> new Tally());
    }

    /**
     * Returns the number of datagrams since the start.
     *
     * @return the numbers by direction ({@code sent} or {@code received}) and kind
     */
    public Map<List<String>, Long> datagrams() {
        final Map<List<String>, Long> numbers = new HashMap<>();
        mSent.forEach((kind, tally) -> numbers.put(tags("sent", kind), tally.mDatagrams));
        mReceived.forEach((kind, tally) -> numbers.put(tags("received", kind), tally.mDatagrams));
        return numbers;
    }

    /**
     * Returns the bytes of the datagrams since the start, without the headers of UDP and IP.
     *
     * @return the bytes by direction ({@code sent} or {@code received}) and kind
     */
    public Map<List<String>, Long> bytes() {
        final Map<List<String>, Long> bytes = new HashMap<>();
        mSent.forEach((kind, tally) -> bytes.put(tags("sent", kind), tally.mBytes));
        mReceived.forEach((kind, tally) -> bytes.put(tags("received", kind), tally.mBytes));
        return bytes;
    }

    private static List<String> tags(final String direction, final ContentCase kind) {
        return List.of(direction, kind.name().toLowerCase(Locale.ROOT));
    }

    private static final class Tally {
        private long mDatagrams;
        private long mBytes;

        private void add(final long datagrams, final long bytes) {
            mDatagrams += datagrams;
            mBytes += bytes;
        }
    }
}
