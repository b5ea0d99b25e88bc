package org.whinhead.daemon.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.admission.AdmissionSettings;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Tier;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentPath;
import org.whinhead.settings.deployment.StoredDocument;

/** Checks that admission follows changes of settings, endpoints and the number of daemons. */
class DaemonAdmissionTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final ModelRef MODEL = ModelRef.of("summary", "1");
    private static final Map<String, String> DOCUMENTS =
            Map.of(
                    "/tiers/standard",
                    "{'schema':1,'priority':5,'firstTokenMillis':1000,'betweenTokensMillis':1000,"
                            + "'requestTimeoutMillis':30000,'objectives':{'latencyShare':0.99,"
                            + "'availabilityShare':0.99,'windowHours':24}}",
                    "/teams/filing/customers/clinic",
                    "{'schema':1,'tier':'/tiers/standard','keyHashes':['sha256:"
                            + "0".repeat(64)
                            + "'],'weight':1,'tokensPerSecond':100}");

    private final LimitTracker mLimits = new LimitTracker(2);
    private final DaemonAdmission mAdmission =
            new DaemonAdmission(mLimits, AdmissionSettings.DEFAULT);
    private int mLastNumber;

    // An operator removes a customer between the key check of a request and its admission. Without
    // settings the customer has no budget, and the request would run without limit.
    @Test
    void customerWithoutSettingsIsRefused() {
        mLimits.settingsChanged(settings());
        assertThat(mAdmission.offer(request(10), START)).isEmpty();
        mLimits.settingsChanged(DeploymentSettings.EMPTY);
        assertThat(mAdmission.offer(request(10), START))
                .contains(Refusal.notRun(ErrorCode.UNKNOWN_KEY, "customer was removed"));
    }

    // A team calls only one of two daemons. The daemon must limit it to half of the team's rate,
    // with a burst of five seconds, or the team could spend its whole rate at each daemon.
    @Test
    void teamIsLimitedToTheDaemonsShareWithRetryAfter() {
        mLimits.settingsChanged(settings());
        mLimits.daemonsChanged(2);
        assertThat(mAdmission.offer(request(250), START)).isEmpty();
        final Refusal refusal = mAdmission.offer(request(100), START).orElseThrow();
        assertThat(refusal.code()).isEqualTo(ErrorCode.BUDGET_SPENT);
        assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refusal.retryAfter()).contains(Duration.ofSeconds(2));
        assertThat(mAdmission.offer(request(100), START.plusSeconds(2))).isEmpty();
    }

    // The daemon admits requests up to its share of the engines' slots. After the last engine left,
    // a few are still admitted, so that callers receive "no endpoint" and not "overloaded".
    @Test
    void slotsFollowTheEndpointsAndTheDaemons() {
        mLimits.settingsChanged(settings());
        mLimits.endpointsChanged(List.of(engine(VmState.LIVE), engine(VmState.LEAVING)));
        mLimits.daemonsChanged(3);
        for (int i = 0; i < 12; i++) {
            mAdmission.offer(request(1), START);
        }
        assertThat(mAdmission.takeAdmitted(START)).hasSize(5);
        mLimits.endpointsChanged(List.of());
        assertThat(mAdmission.takeAdmitted(START)).isEmpty();
        assertThat(mAdmission.counts()).isEqualTo(new AdmissionCounts(7, 5, 0, 0));
        mLimits.daemonsChanged(1);
        assertThat(mLimits.snapshot().slots()).containsValue(2);
    }

    // A daemon dies and its callers resume here with tickets. Their requests run immediately,
    // beyond the slots, but they count: no new request is admitted until they end.
    @Test
    void resumedRequestsUseSlotsAndBudget() {
        mLimits.settingsChanged(settings());
        final RequestSpec first = request(400);
        mAdmission.resume(first, 300, START);
        mAdmission.resume(request(400), 400, START);
        mAdmission.resume(request(50), 50, START);
        assertThat(mAdmission.offer(request(50), START)).isEmpty();
        assertThat(mAdmission.takeAdmitted(START)).hasSize(1);
        mLimits.endpointsChanged(List.of(engine(VmState.LIVE)));
        assertThat(mAdmission.counts()).isEqualTo(new AdmissionCounts(0, 4, 3, 1));
        mAdmission.requestEnded(first.id(), 0, START);
        assertThat(mAdmission.offer(request(300), START)).isEmpty();
    }

    private RequestSpec request(final int maxTokens) {
        mLastNumber++;
        final Duration second = Duration.ofSeconds(1);
        return RequestSpec.builder(new RequestId("r" + mLastNumber))
                .customer(new CustomerId("clinic"))
                .tier(new Tier("standard", 5, second, second, second.multipliedBy(30)))
                .model(MODEL)
                .maxTokens(maxTokens)
                .arrived(START.plusSeconds(2))
                .deadline(START.plusSeconds(32))
                .build();
    }

    private static Endpoint engine(final VmState state) {
        final FailureDomain domain = new FailureDomain("kigali", "kg-gasabo");
        final String name = "vm-" + state;
        final Vm vm =
                new Vm(new VmId(name), "127.0.0.1", domain, "gpu", Billing.RECLAIMABLE, state);
        return Endpoint.engine(new EndpointId(name))
                .vm(vm)
                .uri(URI.create("http://127.0.0.1:1"))
                .models(Set.of(MODEL))
                .slots(10)
                .build();
    }

    private static DeploymentSettings settings() {
        return DeploymentSettings.of(
                DOCUMENTS.entrySet().stream()
                        .map(
                                entry ->
                                        new StoredDocument(
                                                DocumentPath.parse(entry.getKey()),
                                                entry.getValue().replace('\'', '"'),
                                                1))
                        .toList());
    }
}
