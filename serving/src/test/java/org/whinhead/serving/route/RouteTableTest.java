package org.whinhead.serving.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class RouteTableTest {

    private static Route route(final String name, final String host, final String prefix) {
        return Route.builder()
                .name(name)
                .match(host, prefix)
                .kind(RouteKind.IDEMPOTENT, false)
                .times(Duration.ofSeconds(1), Duration.ofMillis(100))
                .service(new WeightedService("service-" + name, 1))
                .build();
    }

    private final RouteTable mTable =
            new RouteTable(
                    List.of(
                            route("root", "a.example", "/"),
                            route("short", "a.example", "/claims/"),
                            route("long", "a.example", "/claims/drafts/")));

    @Test
    void longestPrefixWins() {
        assertThat(mTable.find("a.example", "/claims/drafts/7").map(Route::name)).contains("long");
        assertThat(mTable.find("a.example", "/claims/7").map(Route::name)).contains("short");
        assertThat(mTable.find("a.example", "/other").map(Route::name)).contains("root");
    }

    @Test
    void prefixMatchesWholeSegmentsOnly() {
        final RouteTable table = new RouteTable(List.of(route("short", "a.example", "/claims/")));
        assertThat(table.find("a.example", "/claimsfoo")).isEmpty();
        assertThat(table.find("a.example", "/claims")).isEmpty();
    }

    @Test
    void hostIsComparedWithoutPortAndCase() {
        assertThat(mTable.find("A.Example:8080", "/claims/7").map(Route::name)).contains("short");
        assertThat(mTable.find("b.example", "/claims/7")).isEmpty();
    }

    @Test
    void weightsSplitRequests() {
        final Route split =
                Route.builder()
                        .name("split")
                        .match("a.example", "/")
                        .kind(RouteKind.NON_IDEMPOTENT, false)
                        .times(Duration.ofSeconds(1), Duration.ofMillis(100))
                        .service(new WeightedService("old", 90))
                        .service(new WeightedService("new", 10))
                        .build();
        int onNew = 0;
        for (int draw = -50; draw < 50; draw++) {
            onNew += split.selectService(draw).equals("new") ? 1 : 0;
        }
        assertThat(onNew).isEqualTo(10);
    }
}
