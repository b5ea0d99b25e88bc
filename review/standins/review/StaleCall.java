package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The holder of the duties is cut off from the platform for ten seconds, three times. */
public final class StaleCall {
    private static final int DAEMONS = 3;
    private static final int CUTS = 3;
    private static final int CUT_MILLIS = 10_000;
    private static final int CALM_MILLIS = 8_000;
    private static final int AFTER_ORDER_MILLIS = 2_000;
    private static final int HEALED_SLACK_MILLIS = 300;

    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Log mLog;

    private StaleCall(final Log log) {
        mLog = log;
    }

    public static void main(final String[] arguments) throws Exception {
        final int result;
        try (Log log = new Log(Path.of(arguments[0]))) {
            result = new StaleCall(log).run();
        }
        System.exit(result);
    }

    private int run() throws Exception {
        try (Site site = new Site(mLog)) {
            site.scale();
            site.putConfiguration(600);
            final List<String> zones = List.of("kg-gasabo", "kg-kicukiro", "kg-nyarugenge");
            for (int number = 0; number < zones.size(); number++) {
                final PlainServer server =
                        new PlainServer("i-00000b0" + number, 0, (channel, head) -> false);
                site.putServer(server.id(), "huvo11a", server.address(), zones.get(number), 96);
            }
            final List<Daemon> daemons = new ArrayList<>();
            final List<List<CutLink>> links = new ArrayList<>();
            for (int number = 0; number < DAEMONS; number++) {
                final CutLink store = new CutLink(site.store().port());
                final CutLink cloud = new CutLink(site.cloud().port());
                links.add(List.of(store, cloud));
                final Daemon daemon = site.addDaemon(store.address(), cloud.address());
                daemons.add(daemon);
                daemon.start();
            }
            try {
                for (final Daemon daemon : daemons) {
                    daemon.awaitReady(25_000);
                }
            } catch (IOException e) {
                mLog.line("could not run: " + e);
                return 2;
            }
            final List<Long> healedAt = new ArrayList<>();
            for (int cut = 0; cut < CUTS; cut++) {
                Thread.sleep(CALM_MILLIS);
                awaitOrder(site);
                Thread.sleep(AFTER_ORDER_MILLIS);
                final Optional<Integer> holder = holder(site, daemons);
                if (holder.isEmpty()) {
                    mLog.line("could not run: nobody has called the platform");
                    return 2;
                }
                if (mTrouble) {
                    mLog.line("cut: " + daemons.get(holder.get()).name());
                    links.get(holder.get()).forEach(link -> link.cut(true));
                }
                Thread.sleep(CUT_MILLIS);
                if (mTrouble) {
                    links.get(holder.get()).forEach(link -> link.cut(false));
                    healedAt.add(mLog.millis());
                    mLog.line("healed: " + daemons.get(holder.get()).name());
                }
            }
            Thread.sleep(CALM_MILLIS);
            return judge(site.cloud().calls(), healedAt);
        }
    }

    /** Waits for the next order of reclaimable servers. */
    private static void awaitOrder(final Site site) throws InterruptedException {
        final int before = site.cloud().calls().size();
        for (int turn = 0; turn < 100; turn++) {
            final List<Cloud.Call> calls = site.cloud().calls();
            if (calls.subList(before, calls.size()).stream()
                    .anyMatch(call -> call.body().contains("spot"))) {
                return;
            }
            Thread.sleep(50);
        }
    }

    private static Optional<Integer> holder(final Site site, final List<Daemon> daemons) {
        final List<Cloud.Call> calls = site.cloud().calls();
        if (calls.isEmpty()) {
            return Optional.empty();
        }
        final String name = calls.get(calls.size() - 1).holder();
        for (int number = 0; number < daemons.size(); number++) {
            if (daemons.get(number).name().equals(name)) {
                return Optional.of(number);
            }
        }
        return Optional.empty();
    }

    private int judge(final List<Cloud.Call> calls, final List<Long> healedAt) {
        final Map<String, Cloud.Call> highest = new HashMap<>();
        int stale = 0;
        for (final Cloud.Call call : calls) {
            final Cloud.Call before = highest.get(subject(call));
            if (before == null || before.token() <= call.token()) {
                highest.put(subject(call), call);
                continue;
            }
            final boolean justHealed =
                    healedAt.stream()
                            .anyMatch(
                                    healed ->
                                            call.atMillis() >= healed
                                                    && call.atMillis()
                                                            <= healed + HEALED_SLACK_MILLIS);
            mLog.line(
                    (justHealed ? "excused: " : "ONE: ") + call + " after " + before);
            stale += justHealed ? 0 : 1;
        }
        final String sum = "calls " + calls.size() + ", with a token below one seen before " + stale;
        mLog.line(sum);
        System.out.println(sum);
        mLog.line("VERDICT: " + (stale > 0 ? "broken" : "held"));
        return stale > 0 ? 1 : 0;
    }

    private static String subject(final Cloud.Call call) {
        if (call.path().equals("/usage")) {
            return call.path();
        }
        final String body = call.body();
        return call.path() + field(body, "service") + "@" + field(body, "zone");
    }

    private static String field(final String body, final String name) {
        final int start = body.indexOf("\"" + name + "\":\"") + name.length() + 4;
        return body.substring(start, body.indexOf('"', start));
    }
}
