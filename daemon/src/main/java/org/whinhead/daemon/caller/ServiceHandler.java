package org.whinhead.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Supplier;
import org.whinhead.api.model.Customer;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.RequestException;
import org.whinhead.daemon.decision.DecisionEvent;
import org.whinhead.daemon.request.RequestBody;
import org.whinhead.daemon.view.DeploymentView;
import org.whinhead.settings.deployment.DocumentValue.ServiceEntry;

/** Submits calls of plain services: {@code /v1/services/{service}/{path}}. */
final class ServiceHandler {

    static final String PREFIX = "/v1/services/";

    private static final String NOT_IDEMPOTENT = "false";

    private final Supplier<DeploymentView> mView;
    private final RequestSubmitter mSubmitter;
    private final BodyReceiver mBodyReceiver;
    private final RequestNames mNames;
    private final InstantSource mClock;

    ServiceHandler(
            final Supplier<DeploymentView> view,
            final RequestSubmitter submitter,
            final BodyReceiver bodyReceiver,
            final RequestNames names,
            final InstantSource clock) {
        mView = view;
        mSubmitter = submitter;
        mBodyReceiver = bodyReceiver;
        mNames = names;
        mClock = clock;
    }

    void handle(final HttpServerExchange exchange, final Customer customer, final String name)
            throws RequestException {
        mSubmitter.checkAccepting();
        final String rest = exchange.getRequestPath().substring(PREFIX.length());
        final int slash = rest.indexOf('/');
        final String service = slash < 0 ? rest : rest.substring(0, slash);
        final String path = slash < 0 ? "/" : rest.substring(slash);
        final ServiceEntry rules =
                mView.get()
                        .service(service)
                        .orElseThrow(
                                () ->
                                        new RequestException(
                                                Refusal.notRun(
                                                        ErrorCode.UNKNOWN_TARGET,
                                                        "service " + service)));
        final boolean idempotent = rules.isIdempotent(path) && !isMarkedNotIdempotent(exchange);
        final String keyHeader =
                RequestNames.readNameHeader(exchange, CallerHeaders.IDEMPOTENCY_KEY);
        final String key = keyHeader.isEmpty() ? name : keyHeader;
        final RequestSpec spec = spec(customer, key, service, idempotent);
        mBodyReceiver.receive(
                exchange,
                body ->
                        mSubmitter.submit(
                                exchange,
                                spec,
                                plain(exchange, path, key, body),
                                new PlainFormat(),
                                DecisionEvent.Arrived::new));
    }

    private static boolean isMarkedNotIdempotent(final HttpServerExchange exchange)
            throws RequestException {
        return NOT_IDEMPOTENT.equals(
                RequestNames.readNameHeader(exchange, CallerHeaders.IDEMPOTENT));
    }

    private RequestSpec spec(
            final Customer customer,
            final String key,
            final String service,
            final boolean idempotent) {
        final RequestId keyed = mNames.requestId(customer, service + "/" + key);
        // A second call with the same key runs in parallel only if calls may be repeated.
        final boolean needsNewId = idempotent && mSubmitter.isInProgress(keyed);
        final RequestId id = needsNewId ? mNames.requestId(customer, mNames.newName()) : keyed;
        final Instant now = mClock.instant();
        return RequestSpec.builder(id)
                .customer(customer.id())
                .tier(customer.tier())
                .service(service)
                .idempotent(idempotent)
                .arrived(now)
                .deadline(now.plus(customer.tier().requestTimeout()))
                .build();
    }

    private static RequestBody plain(
            final HttpServerExchange exchange,
            final String path,
            final String key,
            final byte[] body) {
        final String query = exchange.getQueryString();
        final String contentType = exchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE);
        return new RequestBody.Plain(
                exchange.getRequestMethod().toString(),
                query.isEmpty() ? path : path + "?" + query,
                contentType == null ? "application/octet-stream" : contentType,
                key,
                body);
    }
}
