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

/** One try of a request at one daemon; what comes back goes to a listener until it is closed. */
final class Attempt {

    private static final String EVENT_STREAM = "text/event-stream";
    private static final String TICKET_HEADER = "X-Whinhead-Ticket";
    private static final String TICKET_COMMENT = "ticket ";
    private static final int OK = 200;

    /** What comes back; called from the client's threads, one call at a time. */
    interface Listener {
        /** A daemon began an answer. */
        void onAnswerStarted(Attempt attempt);

        /** A ticket came. */
        void onTicket(Attempt attempt, String ticket);

        /** An event of a stream came. */
        void onEvent(Attempt attempt, SseEvent event);

        /** Any line of a stream came. */
        void onLine(Attempt attempt);

        /** The response is over; its body is empty if it was a stream. */
        void onResponse(Attempt attempt, HttpResponse<String> response);

        /** No response, or only a part of it, came. */
        void onFailure(Attempt attempt, Throwable cause);
    }

    private final Listener mListener;
    private volatile CompletableFuture<HttpResponse<String>> mResponse;
    private volatile Flow.Subscription mLineSubscription;
    private volatile boolean mClosed;

    /**
     * Makes a try that is not sent yet.
     *
     * @param listener receives what comes back
     */
    Attempt(final Listener listener) {
        mListener = listener;
    }

    /**
     * Sends the request.
     *
     * @param client the client
     * @param request the request
     */
    void send(final HttpClient client, final HttpRequest request) {
        mResponse = client.sendAsync(request, bodyHandler());
        mResponse.whenComplete(this::notifyEnd);
    }

    /** Ends the try; nothing more is told, and a response in progress is dropped. */
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
            ticket.ifPresent(value -> mListener.onTicket(this, value)); // a refusal may carry one
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

    /** Receives the lines of a stream. */
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
                mListener.onLine(Attempt.this);
                mParser.parseLine(line);
            }
        }

        @Override
        public void onError(final Throwable cause) {
            // The response's future tells of it.
        }

        @Override
        public void onComplete() {
            // The response's future tells of it.
        }

        private void forwardEvent(final SseEvent event) {
            if (!mClosed) {
                mListener.onEvent(Attempt.this, event);
            }
        }

        private void forwardTicket(final String text) {
            if (!mClosed && text.startsWith(TICKET_COMMENT)) {
                mListener.onTicket(Attempt.this, text.substring(TICKET_COMMENT.length()));
            }
        }
    }
}
