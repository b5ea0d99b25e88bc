package org.whinhead.serving.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.member.Member;

class StreamHoldersTest {

    private static final int KEYS = 3_000;
    private static final int COPIES = 3;

    private static List<Member> daemons(final int count, final int domains) {
        final List<Member> daemons = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            final InetSocketAddress address =
                    InetSocketAddress.createUnresolved("daemon", 1 + number);
            daemons.add(
                    new Member(
                            "daemon-" + number,
                            "incarnation-" + number,
                            "domain-" + number % domains,
                            address,
                            address));
        }
        return daemons;
    }

    private static StreamKey key(final Random random) {
        return new StreamKey(1, random.nextLong(), random.nextLong());
    }

    @Test
    void noMoreDaemonsAreToldThanThereAre() {
        final StreamKey key = key(new Random(1));
        assertThat(StreamHolders.toTell(key, daemons(0, 3), COPIES)).isEmpty();
        assertThat(StreamHolders.toTell(key, daemons(2, 3), COPIES)).hasSize(2);
        assertThat(StreamHolders.toTell(key, daemons(329, 9), COPIES)).hasSize(COPIES);
    }

    @Test
    void allDaemonsSelectTheSameWhateverTheirOrder() {
        final StreamKey key = key(new Random(2));
        final List<Member> daemons = daemons(65, 3);
        final List<Member> shuffled = new ArrayList<>(daemons);
        Collections.shuffle(shuffled, new Random(3));
        assertThat(StreamHolders.toTell(key, daemons, COPIES))
                .isEqualTo(StreamHolders.toTell(key, shuffled, COPIES));
    }

    // Guards against a stream that is forgotten with one failure domain.
    @Test
    void toldDaemonsAreInDifferentFailureDomains() {
        final Random random = new Random(4);
        for (int index = 0; index < KEYS; index++) {
            assertThat(StreamHolders.toTell(key(random), daemons(329, 9), COPIES))
                    .extracting(Member::domain)
                    .doesNotHaveDuplicates();
        }
    }

    // Guards against streams that are known and not found: the daemon that resumes one misses some
    // of the others, or one of them is itself.
    @Test
    void daemonsWithOtherListsAskThoseThatWereTold() {
        final Random random = new Random(5);
        final List<Member> daemons = daemons(330, 9);
        for (int index = 0; index < KEYS; index++) {
            final StreamKey key = key(random);
            final List<Member> shorter = new ArrayList<>(daemons);
            Collections.shuffle(shorter, random);
            final List<Member> told = StreamHolders.toTell(key, shorter.subList(0, 326), COPIES);
            Collections.shuffle(shorter, random);
            final List<Member> asked = StreamHolders.toAsk(key, shorter.subList(0, 326));
            assertThat(asked).containsAnyElementsOf(told);
        }
    }

    @Test
    void streamsAreSpreadOverDaemons() {
        final Random random = new Random(6);
        final Map<String, Integer> counts = new HashMap<>();
        for (int index = 0; index < KEYS; index++) {
            StreamHolders.toTell(key(random), daemons(65, 3), COPIES)
                    .forEach(daemon -> counts.merge(daemon.name(), 1, Integer::sum));
        }
        final double mean = KEYS * 3 / 65.0;
        assertThat(counts.values()).allMatch(count -> count > mean / 2 && count < mean * 2);
    }
}
