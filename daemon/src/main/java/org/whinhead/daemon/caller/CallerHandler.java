package org.whinhead.daemon.caller;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.function.Supplier;
import org.whinhead.api.model.Customer;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.RequestException;
import org.whinhead.daemon.burn.BurnCollector;
import org.whinhead.daemon.view.DeploymentView;

/** Authenticates callers and routes their requests to the handler of the path. */
public final class CallerHandler implements HttpHandler {

    private static final String CHAT = "/v1/chat/completions";
    private static final String MODELS = "/v1/models";
    private static final String ADDRESSES = "/v1/addresses";

    private final Supplier<DeploymentView> mView;
    private final RequestNames mNames;
    private final BurnCollector mBurnCollector;
    private final ChatHandler mChat;
    private final ServiceHandler mServices;
    private final ListingHandler mListings;

    CallerHandler(
            final Supplier<DeploymentView> view,
            final RequestNames names,
            final BurnCollector burnCollector,
            final ChatHandler chat,
            final ServiceHandler services,
            final ListingHandler listings) {
        mView = view;
        mNames = names;
        mBurnCollector = burnCollector;
        mChat = chat;
        mServices = services;
        mListings = listings;
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        try {
            final String name = mNames.assignName(exchange);
            route(exchange, name);
        } catch (final RequestException e) {
            Refusals.send(exchange, e.refusal());
        }
    }

    private void route(final HttpServerExchange exchange, final String name)
            throws RequestException {
        final String path = exchange.getRequestPath();
        final HttpString method = exchange.getRequestMethod();
        final boolean get = method.equals(Methods.GET);
        final boolean post = method.equals(Methods.POST);
        if (post && path.equals(CHAT)) {
            mChat.handle(exchange, countedCustomer(exchange), name);
        } else if ((get || post) && path.startsWith(ServiceHandler.PREFIX)) {
            mServices.handle(exchange, countedCustomer(exchange), name);
        } else if (get && path.equals(MODELS)) {
            customer(exchange);
            mListings.listModels(exchange);
        } else if (get && path.equals(ADDRESSES)) {
            mListings.listAddresses(exchange);
        } else {
            throw new RequestException(Refusal.notRun(ErrorCode.UNKNOWN_PATH, method + " " + path));
        }
    }

    /** Returns the customer; later refusals of this request count in the samples of its tier. */
    private Customer countedCustomer(final HttpServerExchange exchange) throws RequestException {
        final Customer customer = customer(exchange);
        Refusals.setListener(exchange, refusal -> mBurnCollector.recordRefusal(customer, refusal));
        return customer;
    }

    private Customer customer(final HttpServerExchange exchange) throws RequestException {
        return KeyAuthenticator.authenticate(
                exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION),
                mView.get().customers());
    }
}
