package org.whinhead.requests;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.whinhead.admission.FifoAdmission;
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
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.routing.Router;

/**
 * Runs a coordinator with endpoints a, b, c..., and records the actions that it requests as text.
 */
final class CoordinatorHarness {

    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    static final RequestId ID = new RequestId("r");
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Tier TIER = new Tier("clerk", 1, SECOND, SECOND, SECOND);

    private final List<String> mActions = new ArrayList<>();
    private final DefaultRequestCoordinator mCoordinator;
    private Instant mNow = START;

    CoordinatorHarness(final RequestSettings settings, final String endpoints) {
        this(settings, endpoints, 1000);
    }

    CoordinatorHarness(
            final RequestSettings settings, final String endpoints, final int maxRunning) {
        final InvocationHandler handler =
                (proxy, method, arguments) -> {
                    mActions.add(method.getName() + describe(arguments));
                    return null;
                };
        final Class<?>[] types = {RequestActions.class};
        final Object actions =
                Proxy.newProxyInstance(CoordinatorHarness.class.getClassLoader(), types, handler);
        mCoordinator =
                DefaultRequestCoordinator.builder()
                        .router(new FirstRouter(endpoints))
                        .admission(new FifoAdmission(maxRunning, 1000))
                        .actions((RequestActions) actions)
                        .settings(settings)
                        .random(new SplittableRandom(1))
                        .build();
    }

    CoordinatorHarness(final String endpoints) {
        this(RequestSettings.builder().build(), endpoints);
    }

    DefaultRequestCoordinator coordinator() {
        return mCoordinator;
    }

    Instant now() {
        return mNow;
    }

    /** Returns the actions since the previous call, without tickets. */
    List<String> actions() {
        final List<String> actions =
                mActions.stream().filter(text -> !text.startsWith("ticket")).toList();
        mActions.clear();
        return actions;
    }

    CoordinatorHarness pass(final Duration time) {
        mNow = mNow.plus(time);
        return this;
    }

    CoordinatorHarness tick() {
        mCoordinator.tick(mNow);
        return this;
    }

    CoordinatorHarness chat(final boolean idempotent) {
        mCoordinator.submit(chatSpec(idempotent), mNow);
        return this;
    }

    CoordinatorHarness call(final boolean idempotent) {
        mCoordinator.submit(spec(ID).service("filing").idempotent(idempotent).build(), mNow);
        return this;
    }

    CoordinatorHarness claim(final ClaimOutcome outcome) {
        mCoordinator.onClaimDecided(ID, outcome, mNow);
        return this;
    }

    CoordinatorHarness opened(final int attempt, final String stream) {
        return event(new AttemptEvent.Opened(new AttemptId(ID, attempt), stream));
    }

    CoordinatorHarness token(final int attempt, final long index, final String text) {
        return event(new AttemptEvent.Token(new AttemptId(ID, attempt), index, text));
    }

    CoordinatorHarness failed(final int attempt, final AttemptFailure failure) {
        return event(new AttemptEvent.Failed(new AttemptId(ID, attempt), failure, "cause"));
    }

    CoordinatorHarness moved(final int attempt, final String stream) {
        return event(new AttemptEvent.Moved(new AttemptId(ID, attempt), stream));
    }

    CoordinatorHarness event(final AttemptEvent event) {
        mCoordinator.onAttemptEvent(event, mNow);
        return this;
    }

    /** Simulates a caller that returns with a ticket for stream s1 of attempt 1 at endpoint a. */
    CoordinatorHarness returned(
            final boolean idempotent, final long haveTokens, final String haveText) {
        final RequestSpec spec = chatSpec(idempotent);
        final AttemptId first = new AttemptId(ID, 1);
        final EndpointId holder = new EndpointId("a");
        final Ticket ticket =
                new Ticket(first, spec.customer(), holder, "s1", 0, idempotent, spec.deadline());
        mCoordinator.resume(spec, ticket, haveTokens, haveText, mNow);
        return this;
    }

    static RequestSpec chatSpec(final boolean idempotent) {
        final ModelRef model = ModelRef.of("draft", "1");
        return spec(ID).model(model).promptTokens(10).idempotent(idempotent).build();
    }

    static RequestSpec.Builder spec(final RequestId id) {
        return RequestSpec.builder(id)
                .customer(new CustomerId("clinic"))
                .tier(TIER)
                .arrived(START)
                .deadline(START.plusSeconds(60));
    }

    private static String describe(final Object... arguments) {
        return Arrays.stream(arguments)
                .map(CoordinatorHarness::describe)
                .collect(Collectors.joining(" ", " ", ""));
    }

    private static String describe(final Object argument) {
        if (argument instanceof Endpoint endpoint) {
            return endpoint.id().value();
        }
        if (argument instanceof Refusal refusal) {
            return refusal.code()
                    + " "
                    + refusal.verdict()
                    + refusal.retryAfter().map(t -> " " + t).orElse("");
        }
        return argument.toString();
    }

    /** Chooses the first endpoint that is not excluded. */
    private record FirstRouter(String names) implements Router {
        @Override
        public Optional<Endpoint> choose(
                final RequestSpec spec, final Set<EndpointId> excluded, final Instant now) {
            return names.chars()
                    .mapToObj(name -> new EndpointId(Character.toString(name)))
                    .filter(id -> !excluded.contains(id))
                    .findFirst()
                    .map(id -> endpoint(id, spec));
        }

        @Override
        public Optional<Endpoint> dispatchTo(
                final EndpointId endpoint, final RequestSpec spec, final Instant now) {
            return Optional.of(endpoint(endpoint, spec));
        }

        @Override
        public void attemptEnded(
                final EndpointId endpoint, final RequestSpec spec, final Instant now) {}

        private static Endpoint endpoint(final EndpointId id, final RequestSpec spec) {
            final FailureDomain domain = new FailureDomain("kigali", "kg-gasabo");
            final VmId vmId = new VmId("vm");
            final Vm vm = new Vm(vmId, "127.0.0.1", domain, "s", Billing.RECLAIMABLE, VmState.LIVE);
            final Endpoint.Builder builder =
                    spec.kind().isStreaming()
                            ? Endpoint.engine(id)
                            : Endpoint.plainService(id, spec.service());
            return builder.vm(vm).uri(URI.create("http://127.0.0.1")).build();
        }
    }
}
