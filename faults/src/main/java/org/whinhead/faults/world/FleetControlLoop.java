package org.whinhead.faults.world;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.whinhead.api.model.Endpoint;
import org.whinhead.fleet.FleetOrder;
import org.whinhead.fleet.FleetReconciler;
import org.whinhead.fleet.FleetSettings;
import org.whinhead.fleet.FleetView;
import org.whinhead.fleet.OrderId;
import org.whinhead.fleet.Pool;
import org.whinhead.fleet.PoolMember;
import org.whinhead.state.fold.FoldState;
import org.whinhead.state.record.LogRecord;

/** One daemon's control loop of the fleet; it notes each order on the log before it is sent. */
final class FleetControlLoop {

    private static final FleetSettings SETTINGS =
            new FleetSettings(Duration.ofMillis(200), 1_000_000, 2, 4);
    private static final long MODEL_BYTES = 1_000;
    private static final Duration RESEND_INTERVAL = Duration.ofSeconds(2);
    private static final Duration MAX_LIST_LAG = Duration.ofSeconds(5);

    private final FakeWorld mWorld;
    private final DaemonState mState;
    private final FakeProcess mProcess;
    private final FleetReconciler mReconciler = new FleetReconciler(SETTINGS);
    private final Map<OrderId, Instant> mSentAt = new HashMap<>();
    private final Map<OrderId, Instant> mAnsweredAt = new HashMap<>();

    FleetControlLoop(final FakeWorld world, final DaemonState state, final FakeProcess process) {
        mWorld = world;
        mState = state;
        mProcess = process;
    }

    void tick(final Instant now) {
        if (!mState.elector().canAct(now) || !mState.view().caughtUp()) {
            return;
        }
        final FoldState state = mState.view().state();
        final List<FleetOrder> open =
                FleetOrderCodec.decodeAll(state.notes().getOrDefault(DaemonState.DUTY, Map.of()));
        for (final FleetOrder order : open) {
            if (isDone(order, now)) {
                appendNote(order, Optional.empty(), now);
            } else {
                sendIfDue(order, now);
            }
        }
        if (mState.log().writer().pendingCount() == 0) {
            final FleetView view =
                    new FleetView(List.of(pool(state)), members(), open, state.asOf());
            mReconciler
                    .reconcile(view, now)
                    .forEach(
                            order ->
                                    appendNote(
                                            order,
                                            Optional.of(FleetOrderCodec.encode(order)),
                                            now));
        }
    }

    /** Returns whether an order is complete; a start stays open until the VM list must show it. */
    private boolean isDone(final FleetOrder order, final Instant now) {
        final Instant answered = mAnsweredAt.get(order.id());
        return answered != null
                && (!(order instanceof FleetOrder.StartVm)
                        || now.isAfter(answered.plus(MAX_LIST_LAG)));
    }

    private Pool pool(final FoldState state) {
        final String version = state.settings().document(FakeFleet.POOL_PATH).orElse("1");
        return new Pool(
                FleetOrderCodec.POOL,
                FakeFleet.model(version),
                MODEL_BYTES,
                mWorld.fleet().enginesNeeded(),
                FakeFleet.domains().stream().map(FleetOrderCodec::supply).toList());
    }

    private List<PoolMember> members() {
        return mWorld.fleet().vmList().endpoints().stream()
                .filter(endpoint -> endpoint.kind().isStreaming())
                .map(this::member)
                .toList();
    }

    private PoolMember member(final Endpoint endpoint) {
        return new PoolMember(
                FleetOrderCodec.POOL,
                endpoint,
                FleetOrderCodec.supply(endpoint.vm().domain()),
                mWorld.fleet().inFlightAt(endpoint.id()));
    }

    private void appendNote(
            final FleetOrder order, final Optional<String> body, final Instant now) {
        final OptionalLong fencing = mState.elector().fencing();
        if (fencing.isPresent()) {
            mState.log()
                    .writer()
                    .offer(
                            id ->
                                    new LogRecord.DutyNoted(
                                            id,
                                            DaemonState.DUTY,
                                            fencing.getAsLong(),
                                            order.id().value(),
                                            body),
                            now);
        }
    }

    private void sendIfDue(final FleetOrder order, final Instant now) {
        final Instant sent = mSentAt.get(order.id());
        if (sent == null || now.isAfter(sent.plus(RESEND_INTERVAL))) {
            mSentAt.put(order.id(), now);
            final long fencing = mState.elector().fencing().orElseThrow();
            mProcess.send(mWorld.fleet().orderDelayMillis(), () -> executeOrder(order, fencing));
        }
    }

    private void executeOrder(final FleetOrder order, final long fencing) {
        mWorld.fleet().orders().recordArrival(order, fencing);
        final boolean refused = !mWorld.fleet().orders().execute(order, fencing);
        if (mWorld.isDrawn(mWorld.lossPercent())) {
            return;
        }
        mWorld.clock().schedule(1, () -> mProcess.post(now -> onAnswer(order, refused, now)));
    }

    private void onAnswer(final FleetOrder order, final boolean refused, final Instant now) {
        if (order instanceof FleetOrder.StartVm start && refused) {
            mReconciler.recordRefusedStart(start.supply(), now);
            mAnsweredAt.put(order.id(), Instant.MIN);
        } else {
            mAnsweredAt.put(order.id(), now);
        }
    }
}
