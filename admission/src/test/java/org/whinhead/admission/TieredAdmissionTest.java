package org.whinhead.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.whinhead.admission.TestRequests.BATCH;
import static org.whinhead.admission.TestRequests.START;
import static org.whinhead.admission.TestRequests.URGENT;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.model.Tier;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;

class TieredAdmissionTest {

    private static final Target TARGET = Target.of(TestRequests.of("c", BATCH, START));

    private final TieredAdmission mAdmission = admission(4);

    // Urgent requests must not be refused because batch requests fill the queue; a batch request is
    // shed with the verdict "not run" instead.
    @Test
    void fullQueueShedsLowestTierFirst() {
        for (int i = 0; i < 4; i++) {
            assertThat(mAdmission.offer(TestRequests.of("batch", BATCH, START), START)).isEmpty();
        }
        assertThat(mAdmission.offer(TestRequests.of("batch", BATCH, START), START)).isPresent();
        final RequestSpec urgent = TestRequests.of("clerk", URGENT, START);
        assertThat(mAdmission.offer(urgent, START)).isEmpty();
        final List<Admission.ShedRequest> shed = mAdmission.takeShed(START);
        assertThat(shed).hasSize(1);
        assertThat(shed.get(0).spec().tier()).isEqualTo(BATCH);
        assertThat(shed.get(0).refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(shed.get(0).refusal().retryAfter()).isPresent();
        assertThat(mAdmission.takeAdmitted(START).get(0)).isEqualTo(urgent);
    }

    // A customer with two hundred requests must not delay the only request of another customer.
    @Test
    void heavyCustomerDoesNotStarveLightOne() {
        final TieredAdmission admission = admission(500);
        admission.capacityChanged(TARGET, 1);
        for (int i = 0; i < 200; i++) {
            admission.offer(TestRequests.of("heavy", BATCH, START), START);
        }
        final RequestSpec running = admission.takeAdmitted(START).get(0);
        final RequestSpec light = TestRequests.of("light", BATCH, START);
        assertThat(admission.offer(light, START)).isEmpty();
        admission.requestEnded(running.id(), 10, START.plusMillis(5));
        assertThat(admission.takeAdmitted(START.plusMillis(5))).containsExactly(light);
    }

    // With a first-token target of 100 ms, below the dispatch allowance, all requests of the tier
    // would be overdue on arrival and be refused although the queue is empty.
    @Test
    void admitsTierWithTargetShorterThanTheAllowance() {
        final Duration target = Duration.ofMillis(100);
        final Tier tier = new Tier("lookup", 3, target, target, Duration.ofSeconds(1));
        final RequestSpec request = TestRequests.of("clerk", tier, START);
        assertThat(mAdmission.offer(request, START.plusMillis(20))).isEmpty();
        assertThat(mAdmission.takeAdmitted(START.plusMillis(20))).containsExactly(request);
    }

    // A customer that was idle must not be served exclusively once it sends many requests, while a
    // customer that was busy meanwhile waits.
    @Test
    void idleCustomerAccumulatesNoCredit() {
        final TieredAdmission admission = admission(500);
        admission.capacityChanged(TARGET, 40);
        for (int i = 0; i < 50; i++) {
            admission.offer(TestRequests.of("morning", BATCH, START), START);
        }
        assertThat(admission.takeAdmitted(START)).hasSize(40);
        for (int i = 0; i < 50; i++) {
            admission.offer(TestRequests.of("noon", BATCH, START), START);
        }
        admission.capacityChanged(TARGET, 50);
        assertThat(admission.takeAdmitted(START))
                .filteredOn(spec -> spec.customer().value().equals("noon"))
                .hasSizeBetween(4, 6);
    }

    @Test
    void weightsSetTheSharesOfBusyCustomers() {
        final TieredAdmission admission = admission(500);
        admission.customersChanged(List.of(customer("big", 3), customer("small", 1)));
        for (int i = 0; i < 100; i++) {
            admission.offer(TestRequests.of("big", BATCH, START), START);
            admission.offer(TestRequests.of("small", BATCH, START), START);
        }
        admission.capacityChanged(TARGET, 40);
        assertThat(admission.takeAdmitted(START))
                .filteredOn(spec -> spec.customer().value().equals("big"))
                .hasSize(30);
    }

    // If requests resumed after the loss of a daemon were not counted, new requests would be
    // dispatched in addition, up to twice as many as the engines have slots.
    @Test
    void resumedRequestOccupiesItsSlotUntilItEnds() {
        final TieredAdmission admission = admission(4);
        admission.capacityChanged(TARGET, 1);
        final RequestSpec resumed = TestRequests.of("c", BATCH, START);
        final RequestSpec next = TestRequests.of("c", BATCH, START);
        admission.resume(resumed, 10, START);
        admission.offer(next, START);
        assertThat(admission.takeAdmitted(START)).isEmpty();
        admission.requestEnded(resumed.id(), 10, START);
        assertThat(admission.takeAdmitted(START)).containsExactly(next);
    }

    // Requests take a second on the only slot and the target is two seconds. Requests that can't be
    // served in time must be refused at once, with a retry delay, instead of timing out.
    @Test
    void refusesRequestsThatCanNotMeetTheirTarget() {
        final TieredAdmission admission = admission(500);
        admission.capacityChanged(TARGET, 1);
        final RequestSpec sample = TestRequests.of("c", BATCH, START);
        admission.offer(sample, START);
        admission.takeAdmitted(START);
        final Instant now = START.plusSeconds(1);
        admission.requestEnded(sample.id(), 100, now);
        final List<Refusal> refusals = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            admission.offer(TestRequests.of("c", BATCH, now), now).ifPresent(refusals::add);
            admission.takeAdmitted(now);
        }
        assertThat(refusals).hasSize(2);
        assertThat(refusals.get(0).code()).isEqualTo(ErrorCode.OVERLOADED);
        assertThat(refusals.get(0).verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refusals.get(0).retryAfter().orElseThrow()).isGreaterThan(Duration.ofSeconds(1));
    }

    @Property(seed = "21", tries = 200)
    void eachRequestIsCountedOnceAndBoundsHold(
            @ForAll @Size(max = 80) final List<@IntRange(max = 5) Integer> steps) {
        final TieredAdmission admission = admission(6);
        final List<RequestSpec> running = new ArrayList<>();
        Instant now = START;
        int offered = 0;
        int refused = 0;
        int shed = 0;
        int admitted = 0;
        for (final int step : steps) {
            now = now.plusMillis(150);
            if (step < 4) {
                final Tier tier = step % 2 == 0 ? BATCH : URGENT;
                offered++;
                refused +=
                        admission.offer(TestRequests.of("c" + step, tier, now), now).isPresent()
                                ? 1
                                : 0;
            } else if (step == 4 && !running.isEmpty()) {
                admission.requestEnded(running.remove(0).id(), 50, now);
            }
            final List<RequestSpec> taken = admission.takeAdmitted(now);
            admitted += taken.size();
            running.addAll(taken);
            shed += admission.takeShed(now).size();
            assertThat(running).hasSizeLessThanOrEqualTo(2);
            assertThat(admission.waiting()).isLessThanOrEqualTo(6);
            assertThat(offered).isEqualTo(refused + shed + admitted + admission.waiting());
        }
    }

    private static TieredAdmission admission(final int maxWaiting) {
        final AdmissionSettings settings =
                new AdmissionSettings(
                        maxWaiting,
                        2,
                        Duration.ofMillis(200),
                        Duration.ofMillis(500),
                        Duration.ofSeconds(30));
        return new TieredAdmission(settings, Budget.UNLIMITED);
    }

    private static Customer customer(final String name, final int weight) {
        return new Customer(
                new CustomerId(name), new TeamId("team"), BATCH, List.of(), weight, 1000);
    }
}
