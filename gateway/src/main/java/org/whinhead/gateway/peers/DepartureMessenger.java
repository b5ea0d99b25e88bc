package org.whinhead.gateway.peers;

import io.netty.channel.EventLoop;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.EndpointDepartureNews;
import org.whinhead.gateway.generated.GatewayProto.EndpointDepartureRecord;
import org.whinhead.gateway.generated.GatewayProto.PeerReport;
import org.whinhead.serving.endpoint.EndpointStart;

/** Tells the other daemons which endpoints have said in a response that they leave. */
final class DepartureMessenger {

    /** The most departures in a datagram: more would not fit into one packet. */
    static final int MAX_DEPARTURES = 24;

    /** The departures in a report; all are told within a few reports. */
    private static final int DEPARTURES_PER_REPORT = 4;

    private final ServingState mState;
    private final RepeatedNews<String, EndpointStart> mNews;
    private Consumer<List<EndpointStart>> mOnDepartures = departures -> {};

    DepartureMessenger(
            final EventLoop loop, final ServingState state, final Consumer<Datagram> sendToAll) {
        mState = Objects.requireNonNull(state, "state");
        mNews =
                new RepeatedNews<>(
                        loop,
                        EndpointStart::endpoint,
                        MAX_DEPARTURES,
                        departures -> sendToAll.accept(encode(departures)));
    }

    /** Sets the handler of departures that other daemons tell of. */
    void onDepartures(final Consumer<List<EndpointStart>> onDepartures) {
        mOnDepartures = onDepartures;
    }

    /** Tells all other daemons of an endpoint that leaves. */
    void tell(final EndpointStart departure) {
        mNews.tell(departure);
    }

    /** Applies a datagram if it tells of departures. */
    void receive(final Datagram datagram) {
        if (datagram.hasDepartureNews()) {
            final List<EndpointStart> departures =
                    decode(datagram.getDepartureNews().getDeparturesList());
            departures.forEach(mNews::heard);
            mOnDepartures.accept(departures);
        }
    }

    /** Adds departures to a report, for daemons that have missed them. */
    void addTo(final PeerReport.Builder report) {
        final Instant now = mState.clock().instant();
        mState.departures()
                .nextReported(DEPARTURES_PER_REPORT, now)
                .forEach(departure -> report.addDepartures(encode(departure)));
    }

    /** Applies the departures of a report, which is sent to a part of the daemons at a time. */
    void receive(final PeerReport report) {
        if (report.getDeparturesCount() > 0) {
            mOnDepartures.accept(decode(report.getDeparturesList()));
        }
    }

    private static Datagram encode(final List<EndpointStart> departures) {
        final EndpointDepartureNews.Builder news = EndpointDepartureNews.newBuilder();
        departures.forEach(departure -> news.addDepartures(encode(departure)));
        return Datagram.newBuilder().setDepartureNews(news).build();
    }

    private static EndpointDepartureRecord encode(final EndpointStart departure) {
        final EndpointDepartureRecord.Builder record =
                EndpointDepartureRecord.newBuilder()
                        .setEndpoint(departure.endpoint())
                        .setVersion(departure.version());
        departure.startedAt().ifPresent(at -> record.setStartedMillis(at.toEpochMilli()));
        return record.build();
    }

    private static List<EndpointStart> decode(final List<EndpointDepartureRecord> records) {
        return records.stream().map(DepartureMessenger::decode).toList();
    }

    private static EndpointStart decode(final EndpointDepartureRecord record) {
        return new EndpointStart(
                record.getEndpoint(),
                record.hasStartedMillis()
                        ? Optional.of(Instant.ofEpochMilli(record.getStartedMillis()))
                        : Optional.empty(),
                record.getVersion());
    }
}
