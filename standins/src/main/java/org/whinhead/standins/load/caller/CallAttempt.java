package org.whinhead.standins.load.caller;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.net.http.HttpResponse.ResponseInfo;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;

/** One attempt of a request at one daemon; notifies a listener of the response until closed. */
final class CallAttempt {

    private static final String EVENT_STREAM = "text/event-stream";
    private static final String TICKET_HEADER = "X-Whinhead-Ticket";
    private static final String TICKET_COMMENT = "ticket ";
    private static final int OK = 200;

    /** Receives the response; called from the client's threads, one call at a time. */
    interface Listener {
        /** The daemon started a successful response. */
        void onAnswerStarted(CallAttempt attempt);

        /** The daemon sent a ticket. */
        void onTicket(CallAttempt attempt, String ticket);

        /** An event of a stream arrived. */
        void onEvent(CallAttempt attempt, ReceivedSseEvent event);

        /** A line of a stream arrived, possibly a comment. */
        void onLine(CallAttempt attempt);

        /** The response is complete; the body is empty if it was a stream. */
        void onResponse(CallAttempt attempt, HttpResponse<String> response);

        /** The connection failed before the response was complete. */
        void onFailure(CallAttempt attempt, Throwable cause);
    }

    private final Listener mListener;
    private volatile CompletableFuture<HttpResponse<String>> mResponse;
    private volatile Flow.Subscription mLineSubscription;
    private volatile boolean mClosed;

    /**
     * Creates an attempt that is not sent.
     *
     * @param listener receives the response
     */
    CallAttempt(final Listener listener) {
        mListener = listener;
    }

    /**
     * Sends the request.
     *
     * @param client the HTTP client
     * @param request the request
     */
    void send(final HttpClient client, final HttpRequest request) {
        mResponse = client.sendAsync(request, bodyHandler());
        mResponse.whenComplete(this::notifyEnd);
    }

    /** Cancels a response in progress and stops the notifications. */
    void close() {
        mClosed = true;
        final Flow.Subscription lines = mLineSubscription;
        if (lines != null) {
            lines.cancel();
        }
        final CompletableFuture<HttpResponse<String>> response = mResponse;
        if (response != null) {
            response.cancel(true);
        }
    }

    private void notifyEnd(final HttpResponse<String> response, final Throwable error) {
        if (mClosed) {
            return;
        }
        if (error != null) {
            mListener.onFailure(this, error);
        } else {
            mListener.onResponse(this, response);
        }
    }

    private BodyHandler<String> bodyHandler() {
        return info -> {
            if (info.statusCode() == OK) {
                mListener.onAnswerStarted(this);
            }
            final Optional<String> ticket = info.headers().firstValue(TICKET_HEADER);
            ticket.ifPresent(value -> mListener.onTicket(this, value)); // also in error responses
            return isStream(info)
                    ? lineSubscriber()
                    : BodySubscribers.ofString(StandardCharsets.UTF_8);
        };
    }

    private static boolean isStream(final ResponseInfo info) {
        return info.headers()
                .firstValue("Content-Type")
                .map(type -> type.startsWith(EVENT_STREAM))
                .orElse(false);
    }

    private BodySubscriber<String> lineSubscriber() {
        return BodySubscribers.fromLineSubscriber(
                new LineSubscriber(), lines -> "", StandardCharsets.UTF_8, null);
    }

    /** Parses the lines of a stream and notifies the listener. */
    private final class LineSubscriber implements Flow.Subscriber<String> {

        private final SseEventParser mParser =
                new SseEventParser(this::forwardEvent, this::forwardTicket);

        @Override
        public void onSubscribe(final Flow.Subscription subscription) {
            mLineSubscription = subscription;
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(final String line) {
            if (!mClosed) {
                mListener.onLine(CallAttempt.this);
                mParser.parseLine(line);
            }
        }

        @Override
        public void onError(final Throwable cause) {
            // The future of the response reports the failure.
        }

        @Override
        public void onComplete() {
            // The future of the response reports the end.
        }

        private void forwardEvent(final ReceivedSseEvent event) {
            if (!mClosed) {
                mListener.onEvent(CallAttempt.this, event);
            }
        }

        private void forwardTicket(final String text) {
            if (!mClosed && text.startsWith(TICKET_COMMENT)) {
                mListener.onTicket(CallAttempt.this, text.substring(TICKET_COMMENT.length()));
            }
        }
    }
}
