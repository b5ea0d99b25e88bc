package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class ListingScheduleTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final ListingSchedule mSchedule = new ListingSchedule();

    private int listings(final int fromSecond, final int toSecond) {
        int listings = 0;
        for (int second = fromSecond; second < toSecond; second++) {
            if (mSchedule.isDue(START, START.plusSeconds(second))) {
                listings++;
            }
        }
        return listings;
    }

    // Guards against a listing for each change that this daemon hears of a moment later.
    @Test
    void shortDifferenceNeedsNoListing() {
        assertThat(listings(0, 2)).isZero();
        assertThat(listings(2, 12)).isEqualTo(1);
    }

    // Guards against calls of all daemons every few seconds for a difference that a listing does
    // not resolve.
    @Test
    void pauseGrowsWhileListingsDoNotHelp() {
        assertThat(listings(0, 3_600)).isBetween(10, 14);
        assertThat(listings(3_600, 7_200)).isBetween(5, 6);
        mSchedule.recordSame();
        assertThat(listings(9_000, 9_020)).isEqualTo(2);
    }
}
