package org.whinhead.gateway.peers;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.whinhead.gateway.generated.GatewayProto.EndpointShare;
import org.whinhead.serving.balance.EndpointChooser;
import org.whinhead.serving.balance.EndpointLoad;
import org.whinhead.serving.speed.SpeedReport;

/** Encodes this daemon's load at endpoints, and what it has observed of their speed. */
final class EndpointShareCodec {

    private static final double WEIGHT_UNITS = 16;
    private static final double DEVIATION_UNITS = 1_000;

    private EndpointShareCodec() {}

    /** Creates the shares of a report: endpoints with requests, and those with samples. */
    static Collection<EndpointShare> createShares(
            final EndpointChooser chooser, final Instant now) {
        final Map<String, EndpointShare.Builder> shares = new LinkedHashMap<>();
        for (final Map.Entry<String, EndpointLoad> load : chooser.loads().entrySet()) {
            if (load.getValue().ownRunning() > 0) {
                share(shares, load.getKey())
                        .setRunning(load.getValue().ownRunning())
                        .setPromptTokens(load.getValue().ownPromptTokens());
            }
        }
        chooser.speeds()
                .ifPresent(
                        speeds ->
                                speeds.takeReports(now)
                                        .forEach(
                                                speed ->
                                                        encodeSpeed(
                                                                speed,
                                                                share(shares, speed.endpoint()))));
        return shares.values().stream().map(EndpointShare.Builder::build).toList();
    }

    private static EndpointShare.Builder share(
            final Map<String, EndpointShare.Builder> shares, final String endpoint) {
        return shares.computeIfAbsent(endpoint, id -> EndpointShare.newBuilder().setEndpoint(id));
    }

    /** Creates a share that has a speed only. */
    static EndpointShare createShare(final SpeedReport speed) {
        final EndpointShare.Builder share =
                EndpointShare.newBuilder().setEndpoint(speed.endpoint());
        encodeSpeed(speed, share);
        return share.build();
    }

    private static void encodeSpeed(final SpeedReport speed, final EndpointShare.Builder share) {
        share.setSpeedWeight((int) Math.round(speed.weight() * WEIGHT_UNITS))
                .setSpeedDeviation((int) Math.round(speed.deviation() * DEVIATION_UNITS))
                .setSpeedRunning(speed.running())
                .setSpeedAgeMillis((int) speed.age().toMillis());
        speed.changeAge().ifPresent(age -> share.setSpeedChangeAgeMillis((int) age.toMillis()));
    }

    /** Decodes the speed of a share that has one. */
    static SpeedReport decodeSpeed(final EndpointShare share, final String service) {
        return new SpeedReport(
                service,
                share.getEndpoint(),
                Integer.toUnsignedLong(share.getSpeedWeight()) / WEIGHT_UNITS,
                share.getSpeedDeviation() / DEVIATION_UNITS,
                share.getSpeedRunning(),
                Duration.ofMillis(Integer.toUnsignedLong(share.getSpeedAgeMillis())),
                share.hasSpeedChangeAgeMillis()
                        ? Optional.of(
                                Duration.ofMillis(
                                        Integer.toUnsignedLong(share.getSpeedChangeAgeMillis())))
                        : Optional.empty());
    }
}
