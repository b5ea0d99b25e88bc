package org.whinhead.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import org.whinhead.standins.load.TextTable;
import org.whinhead.standins.load.result.LatencyDistribution;
import org.whinhead.standins.load.result.RequestOutcome;

/** Formats the result of a run as tables for people or as JSON for scripts. */
final class DemoReport {

    private static final double REPORTED_PERCENTILE = 95;
    private static final double NANOS_IN_MILLI = 1_000_000.0;
    private static final double MILLIS_IN_SECOND = 1000.0;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final DemoResult mResult;

    DemoReport(final DemoResult result) {
        mResult = result;
    }

    /** Returns the result as tables, separated by empty lines. */
    String table() {
        final List<String> lines = new ArrayList<>();
        lines.add(title());
        for (final List<List<String>> rows :
                List.of(outcomes(), verdicts(), latencies(), costs(), tiers())) {
            lines.add("");
            lines.addAll(new TextTable(rows).lines());
        }
        final Map<String, Long> errorCodes = mResult.load().errorCodes();
        if (!errorCodes.isEmpty()) {
            lines.add("");
            lines.add(DemoMessages.text("report.error-codes", errorCodes.toString()));
        }
        return String.join(System.lineSeparator(), lines);
    }

    /** Returns the result as a JSON object on one line. */
    String json() {
        final ObjectNode root = MAPPER.createObjectNode();
        final DemoConfig config = mResult.config();
        root.put("deployment", config.deployment().workload().name());
        root.put("seed", config.seed());
        root.put("reclaimed", config.reclaimedDomain().name());
        root.put("noticeMillis", config.notice().toMillis());
        root.put("requests", mResult.load().requests().size());
        root.put("accepted", mResult.load().accepted());
        for (final RequestOutcome outcome : RequestOutcome.values()) {
            if (outcome != RequestOutcome.WRONG) {
                root.put(outcome.jsonName(), mResult.load().count(outcome));
            }
        }
        root.put("doubled", mResult.doubled());
        root.put("wrongAnswers", mResult.wrongAnswers());
        root.put("notRunButRan", mResult.notRunButRan());
        root.put("unwitnessed", mResult.unwitnessed());
        root.put("recomputedTokens", mResult.recomputedTokens());
        root.put("generatedTokens", mResult.generatedTokens());
        put(root, mResult.phases().whole());
        put(root.putObject("beforeWave"), mResult.phases().before());
        put(root.putObject("duringWave"), mResult.phases().during());
        put(root.putObject("afterWave"), mResult.phases().after());
        root.put("cost", mResult.cost());
        root.set("costByRole", MAPPER.valueToTree(mResult.costByRole()));
        root.put("costPerThousandCompleted", mResult.costPerThousand());
        root.set("costPerThousandByTier", MAPPER.valueToTree(mResult.costPerThousandByTier()));
        root.set("completedByTier", MAPPER.valueToTree(mResult.load().completedByTier()));
        root.set("errorCodes", MAPPER.valueToTree(mResult.load().errorCodes()));
        root.put("promiseKept", mResult.isGuaranteeKept());
        try {
            return MAPPER.writeValueAsString(root);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("cannot write the result as JSON", e);
        }
    }

    private static void put(final ObjectNode node, final LoadPhases.Times times) {
        node.put("firstTokenMillisP95", millis(times.firstToken()));
        node.put("betweenTokensMillisP95", millis(times.betweenTokens()));
    }

    private String title() {
        final DemoConfig config = mResult.config();
        return DemoMessages.text(
                "report.title",
                config.deployment().workload().name(),
                config.reclaimedDomain().name(),
                seconds(config.reclaimDelay()),
                seconds(config.notice()),
                mResult.load().requests().size(),
                seconds(mResult.load().elapsed()));
    }

    private List<List<String>> outcomes() {
        final List<List<String>> rows = new ArrayList<>();
        rows.add(row("report.outcome", DemoMessages.text("report.requests")));
        for (final RequestOutcome outcome : RequestOutcome.values()) {
            rows.add(List.of(outcome.jsonName(), "" + mResult.load().count(outcome)));
        }
        return rows;
    }

    private List<List<String>> verdicts() {
        return List.of(
                row("report.judgement", DemoMessages.text("report.count")),
                row("report.lost", "" + mResult.lost()),
                row("report.doubled", "" + mResult.doubled()),
                row("report.wrong", "" + mResult.wrongAnswers()),
                row("report.not-run-but-ran", "" + mResult.notRunButRan()),
                row("report.unwitnessed", "" + mResult.unwitnessed()),
                row("report.recomputed", "" + mResult.recomputedTokens()),
                row("report.generated", "" + mResult.generatedTokens()));
    }

    private List<List<String>> latencies() {
        return List.of(
                row(
                        "report.latency",
                        DemoMessages.text("report.before"),
                        DemoMessages.text("report.during"),
                        DemoMessages.text("report.after"),
                        DemoMessages.text("report.whole")),
                latency("report.first-token", LoadPhases.Times::firstToken),
                latency("report.between-tokens", LoadPhases.Times::betweenTokens));
    }

    private List<String> latency(
            final String key, final Function<LoadPhases.Times, LatencyDistribution> times) {
        final LoadPhases phases = mResult.phases();
        return row(
                key,
                oneDecimal(millis(times.apply(phases.before()))),
                oneDecimal(millis(times.apply(phases.during()))),
                oneDecimal(millis(times.apply(phases.after()))),
                oneDecimal(millis(times.apply(phases.whole()))));
    }

    private List<List<String>> costs() {
        final List<List<String>> rows = new ArrayList<>();
        rows.add(row("report.cost", DemoMessages.text("report.amount")));
        mResult.costByRole()
                .forEach(
                        (role, amount) ->
                                rows.add(
                                        List.of(
                                                DemoMessages.text("report.cost-role", role),
                                                money(amount))));
        rows.add(row("report.cost-all", money(mResult.cost())));
        return rows;
    }

    private List<List<String>> tiers() {
        final List<List<String>> rows = new ArrayList<>();
        rows.add(
                row(
                        "report.tier",
                        DemoMessages.text("report.completed"),
                        DemoMessages.text("report.tier-cost")));
        final Map<String, Long> completed = mResult.load().completedByTier();
        mResult.costPerThousandByTier()
                .forEach(
                        (tier, amount) ->
                                rows.add(List.of(tier, "" + completed.get(tier), money(amount))));
        return rows;
    }

    private static List<String> row(final String key, final String... cells) {
        final List<String> row = new ArrayList<>();
        row.add(DemoMessages.text(key));
        row.addAll(List.of(cells));
        return row;
    }

    private static double millis(final LatencyDistribution times) {
        return times.percentile(REPORTED_PERCENTILE).toNanos() / NANOS_IN_MILLI;
    }

    private static String seconds(final Duration duration) {
        return oneDecimal(duration.toMillis() / MILLIS_IN_SECOND);
    }

    private static String oneDecimal(final double number) {
        return String.format(Locale.ROOT, "%.1f", number);
    }

    private static String money(final double amount) {
        return String.format(Locale.ROOT, "%.4f", amount);
    }
}
