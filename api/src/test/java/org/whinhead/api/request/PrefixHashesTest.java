package org.whinhead.api.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PrefixHashesTest {

    private static String words(final int from, final int to) {
        return IntStream.range(from, to)
                .mapToObj(index -> "w" + index)
                .collect(Collectors.joining(" "));
    }

    @Test
    void hashDependsOnItsBlockAndAllEarlierBlocksOnly() {
        final String shared = words(0, 32);
        assertThat(PrefixHashes.of("m@1", shared + " tail"))
                .isEqualTo(PrefixHashes.of("m@1", shared));
        assertThat(PrefixHashes.of("m@1", shared)).hasSize(2);
        assertThat(PrefixHashes.of("m@1", words(0, 16) + "\n" + words(50, 66)).get(0))
                .isEqualTo(PrefixHashes.of("m@1", shared).get(0));
        assertThat(PrefixHashes.of("m@1", words(1, 17) + " " + words(16, 32)).get(1))
                .isNotEqualTo(PrefixHashes.of("m@1", shared).get(1));
    }
}
