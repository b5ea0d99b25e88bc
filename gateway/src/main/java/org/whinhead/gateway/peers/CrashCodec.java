package org.whinhead.gateway.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.EndpointCrashRecord;
import org.whinhead.gateway.generated.GatewayProto.RequestIdentityRecord;
import org.whinhead.gateway.generated.GatewayProto.SuspectRequestRecord;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.RequestIdentity;
import org.whinhead.serving.crash.SuspectRecord;

/** Encodes and decodes requests that were on endpoints that crashed. */
final class CrashCodec {

    /** The most requests in a datagram: more would not fit into one packet. */
    private static final int MAX_REQUESTS = 32;

    private CrashCodec() {}

    static RequestIdentityRecord encode(final RequestIdentity identity) {
        return RequestIdentityRecord.newBuilder()
                .setShape(identity.shape())
                .setDigestHigh(identity.high())
                .setDigestLow(identity.low())
                .build();
    }

    static RequestIdentity decode(final RequestIdentityRecord record) {
        return new RequestIdentity(
                record.getShape(), record.getDigestHigh(), record.getDigestLow());
    }

    static SuspectRequestRecord encode(final SuspectRecord record) {
        return SuspectRequestRecord.newBuilder()
                .setRequest(encode(record.identity()))
                .setLevel(record.level())
                .setKeptMillis(record.keptFor().toMillis())
                .build();
    }

    static SuspectRecord decode(final SuspectRequestRecord record) {
        return new SuspectRecord(
                decode(record.getRequest()),
                record.getLevel(),
                Duration.ofMillis(record.getKeptMillis()));
    }

    /** Returns the datagrams that tell of a crash. */
    static List<Datagram> encode(final EndpointCrash crash) {
        final List<Datagram> datagrams = new ArrayList<>();
        for (int from = 0; from < crash.requests().size(); from += MAX_REQUESTS) {
            final int to = Math.min(from + MAX_REQUESTS, crash.requests().size());
            final EndpointCrashRecord.Builder record =
                    EndpointCrashRecord.newBuilder().setEndpoint(crash.endpoint());
            crash.requests()
                    .subList(from, to)
                    .forEach(
                            request ->
                                    record.addRequests(
                                            SuspectRequestRecord.newBuilder()
                                                    .setRequest(encode(request.identity()))
                                                    .setLevel(request.level())));
            datagrams.add(Datagram.newBuilder().setEndpointCrash(record).build());
        }
        return datagrams;
    }

    static EndpointCrash decode(final EndpointCrashRecord record) {
        return new EndpointCrash(
                record.getEndpoint(),
                record.getRequestsList().stream()
                        .map(
                                request ->
                                        new EndpointCrash.Request(
                                                decode(request.getRequest()), request.getLevel()))
                        .toList());
    }
}
