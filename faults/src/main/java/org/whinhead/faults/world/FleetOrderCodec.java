package org.whinhead.faults.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.VmId;
import org.whinhead.fleet.FleetOrder;
import org.whinhead.fleet.OrderId;
import org.whinhead.fleet.PoolName;
import org.whinhead.fleet.Supply;

/** Encodes fleet orders as text for the notes on the log, and decodes them. */
final class FleetOrderCodec {

    static final PoolName POOL = new PoolName("main");
    private static final String REASON = "noted";

    private FleetOrderCodec() {}

    static Supply supply(final FailureDomain domain) {
        return new Supply(domain, "small", Billing.RECLAIMABLE, 1);
    }

    static String encode(final FleetOrder order) {
        final String text;
        if (order instanceof FleetOrder.StartVm start) {
            final FailureDomain domain = start.supply().domain();
            text = "start " + domain.region() + " " + domain.name();
        } else if (order instanceof FleetOrder.DrainVm drain) {
            text = "drain " + drain.vm();
        } else if (order instanceof FleetOrder.StopVm stop) {
            text = "stop " + stop.vm();
        } else if (order instanceof FleetOrder.LoadModel load) {
            text = "load " + load.endpoint() + " " + load.model().version();
        } else {
            throw new IllegalArgumentException("unknown order " + order);
        }
        return '"' + text + '"';
    }

    static List<FleetOrder> decodeAll(final Map<String, String> notes) {
        final List<FleetOrder> orders = new ArrayList<>();
        notes.forEach((name, body) -> orders.add(decode(new OrderId(name), body)));
        return orders;
    }

    private static FleetOrder decode(final OrderId id, final String body) {
        final String[] words = body.substring(1, body.length() - 1).split(" ");
        return switch (words[0]) {
            case "start" ->
                    new FleetOrder.StartVm(
                            id, POOL, supply(new FailureDomain(words[1], words[2])), REASON);
            case "drain" -> new FleetOrder.DrainVm(id, new VmId(words[1]), REASON);
            case "stop" -> new FleetOrder.StopVm(id, new VmId(words[1]), REASON);
            case "load" ->
                    new FleetOrder.LoadModel(
                            id, new EndpointId(words[1]), ModelRef.of("draft", words[2]), REASON);
            default -> throw new IllegalArgumentException("unknown order " + body);
        };
    }
}
