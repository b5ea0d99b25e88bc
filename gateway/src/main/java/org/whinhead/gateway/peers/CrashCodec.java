package org.whinhead.gateway.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.EndpointCrashRecord;
import org.whinhead.gateway.generated.GatewayProto.FeatureAnswerRecord;
import org.whinhead.gateway.generated.GatewayProto.FeatureStartRecord;
import org.whinhead.gateway.generated.GatewayProto.LostRunRecord;
import org.whinhead.gateway.generated.GatewayProto.RequestFeatureRecord;
import org.whinhead.gateway.generated.GatewayProto.SuspectFeatureRecord;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.FeatureAnswer;
import org.whinhead.serving.crash.FeatureLevel;
import org.whinhead.serving.crash.RequestFeature;
import org.whinhead.serving.crash.SuspectRecord;

/** Encodes and decodes what requests on endpoints that crashed have in common. */
final class CrashCodec {

    /** The most features in a datagram: more would not fit into one packet. */
    private static final int MAX_FEATURES = 40;

    /** The most companions in a report; what is blamed after some crashes has few. */
    private static final int MAX_COMPANIONS = 4;

    private CrashCodec() {}

    private static RequestFeatureRecord encode(final RequestFeature feature) {
        return RequestFeatureRecord.newBuilder()
                .setShape(feature.shape())
                .setDigestHigh(feature.high())
                .setDigestLow(feature.low())
                .build();
    }

    private static RequestFeature decode(final RequestFeatureRecord record) {
        return new RequestFeature(record.getShape(), record.getDigestHigh(), record.getDigestLow());
    }

    static SuspectFeatureRecord encode(final SuspectRecord record) {
        return SuspectFeatureRecord.newBuilder()
                .setFeature(encode(record.feature()))
                .setLevel(record.level())
                .setKeptMillis(record.keptFor().toMillis())
                .addAllCompanions(record.companions().stream().limit(MAX_COMPANIONS).toList())
                .build();
    }

    static SuspectRecord decode(final SuspectFeatureRecord record) {
        return new SuspectRecord(
                decode(record.getFeature()),
                record.getLevel(),
                Duration.ofMillis(record.getKeptMillis()),
                new HashSet<>(record.getCompanionsList()));
    }

    /** Returns the datagrams that tell of a crash, each with whole requests. */
    static List<Datagram> encode(final EndpointCrash crash) {
        final List<Datagram> datagrams = new ArrayList<>();
        EndpointCrashRecord.Builder record = newRecord(crash);
        int features = 0;
        for (final EndpointCrash.LostRun run : crash.runs()) {
            if (features > 0 && features + run.features().size() > MAX_FEATURES) {
                datagrams.add(Datagram.newBuilder().setEndpointCrash(record).build());
                record = newRecord(crash);
                features = 0;
            }
            record.addRuns(encode(run));
            features += run.features().size();
        }
        datagrams.add(Datagram.newBuilder().setEndpointCrash(record).build());
        return datagrams;
    }

    private static EndpointCrashRecord.Builder newRecord(final EndpointCrash crash) {
        return EndpointCrashRecord.newBuilder().setEndpoint(crash.endpoint());
    }

    private static LostRunRecord encode(final EndpointCrash.LostRun run) {
        final LostRunRecord.Builder record = LostRunRecord.newBuilder();
        run.features().forEach(lost -> record.addFeatures(encode(lost)));
        return record.build();
    }

    private static SuspectFeatureRecord encode(final FeatureLevel feature) {
        return SuspectFeatureRecord.newBuilder()
                .setFeature(encode(feature.feature()))
                .setLevel(feature.level())
                .build();
    }

    private static FeatureLevel decodeLevel(final SuspectFeatureRecord record) {
        return new FeatureLevel(decode(record.getFeature()), record.getLevel());
    }

    static EndpointCrash decode(final EndpointCrashRecord record) {
        return new EndpointCrash(
                record.getEndpoint(),
                record.getRunsList().stream().map(CrashCodec::decode).toList());
    }

    private static EndpointCrash.LostRun decode(final LostRunRecord record) {
        return new EndpointCrash.LostRun(
                record.getFeaturesList().stream().map(CrashCodec::decodeLevel).toList());
    }

    static Datagram encode(final FeatureAnswer answer) {
        final FeatureAnswerRecord.Builder record =
                FeatureAnswerRecord.newBuilder().setComplete(answer.isComplete());
        answer.features().forEach(feature -> record.addFeatures(encode(feature)));
        return Datagram.newBuilder().setFeatureAnswer(record).build();
    }

    static FeatureAnswer decode(final FeatureAnswerRecord record) {
        return new FeatureAnswer(
                record.getFeaturesList().stream().map(CrashCodec::decodeLevel).toList(),
                record.getComplete());
    }

    static Datagram encodeStart(final List<RequestFeature> features, final String endpoint) {
        final FeatureStartRecord.Builder record =
                FeatureStartRecord.newBuilder().setEndpoint(endpoint);
        features.forEach(feature -> record.addFeatures(encode(feature)));
        return Datagram.newBuilder().setFeatureStart(record).build();
    }

    static List<RequestFeature> decode(final FeatureStartRecord record) {
        return record.getFeaturesList().stream().map(CrashCodec::decode).toList();
    }
}
