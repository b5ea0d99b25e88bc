package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.serving.duty.UsageDecision;

class UsageDecisionMessengerTest {

    private static final int MAX_PACKET_BYTES = 1_400;

    private final List<Datagram> mSent = new ArrayList<>();
    private final List<UsageDecision> mReceived = new ArrayList<>();
    private final UsageDecisionMessenger mMessenger = new UsageDecisionMessenger(mSent::add);

    private static UsageDecision decision(final int customers) {
        return decision(359_299_003, customers);
    }

    private static UsageDecision decision(final long window, final int customers) {
        final Map<String, Long> counts = new HashMap<>();
        for (int index = 0; index < customers; index++) {
            counts.put("customer-" + index, 1_000L + index);
        }
        return new UsageDecision(window, counts, false);
    }

    private void receiveAll() {
        mMessenger.onDecision(mReceived::add);
        mSent.forEach(mMessenger::receive);
    }

    @Test
    void windowWithoutRequestsIsTold() {
        mMessenger.tell(decision(0));
        receiveAll();
        assertThat(mReceived).containsExactly(decision(0));
    }

    @Test
    void partsInAnyOrderGiveWholeDecision() {
        mMessenger.tell(decision(260));
        assertThat(mSent)
                .hasSizeGreaterThan(1)
                .allMatch(datagram -> datagram.getSerializedSize() <= MAX_PACKET_BYTES);
        Collections.reverse(mSent);
        receiveAll();
        assertThat(mReceived).containsExactly(decision(260));
    }

    // Guards against a window reported with a part of its counts, as a datagram was lost.
    @Test
    void decisionWithLostPartIsNotTaken() {
        mMessenger.tell(decision(260));
        mSent.remove(1);
        receiveAll();
        assertThat(mReceived).isEmpty();
    }

    @Test
    void lostPartIsMadeUpForByNextTelling() {
        mMessenger.tell(decision(260));
        mSent.remove(1);
        mMessenger.tell(decision(260));
        receiveAll();
        assertThat(mReceived).startsWith(decision(260)).containsOnly(decision(260));
    }

    // Guards against memory that is used up by decisions of which parts are lost.
    @Test
    void partsOfOldWindowsAreForgotten() {
        mMessenger.tell(decision(1, 260));
        final Datagram lastPart = mSent.remove(mSent.size() - 1);
        for (long window = 2; window < 8; window++) {
            mMessenger.tell(decision(window, 260));
            mSent.remove(mSent.size() - 1);
        }
        mSent.add(lastPart);
        receiveAll();
        assertThat(mReceived).isEmpty();
    }
}
