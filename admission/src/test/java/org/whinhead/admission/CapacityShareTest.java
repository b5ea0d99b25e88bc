package org.whinhead.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

class CapacityShareTest {

    private static final Target TARGET = new Target(EndpointKind.MODEL_ENGINE, "m@1");

    // Counting the slots of leaving engines admits more requests than the others can run, and
    // the requests miss their first-token targets in the engines' queues.
    @Test
    void slotsExcludeLeavingEnginesAndOtherModels() {
        final List<Endpoint> endpoints =
                List.of(
                        engine("a", "m@1", VmState.LIVE),
                        engine("b", "m@1", VmState.LEAVING),
                        engine("c", "m@2", VmState.LIVE));
        assertThat(CapacityShare.slots(endpoints, TARGET, 3, 1)).isEqualTo(6);
        assertThat(CapacityShare.slots(endpoints, TARGET, 330, 1)).isEqualTo(1);
        assertThat(CapacityShare.slots(endpoints, TARGET, 1, 2)).isEqualTo(16);
        assertThat(CapacityShare.slots(List.of(), TARGET, 1, 2)).isZero();
    }

    private static Endpoint engine(final String id, final String model, final VmState state) {
        final FailureDomain domain = new FailureDomain("kigali", "kg-gasabo");
        return Endpoint.engine(new EndpointId(id))
                .vm(new Vm(new VmId(id), "127.0.0.1", domain, "gpu", Billing.RECLAIMABLE, state))
                .uri(URI.create("http://127.0.0.1:8000"))
                .models(Set.of(ModelRef.parse(model)))
                .build();
    }
}
