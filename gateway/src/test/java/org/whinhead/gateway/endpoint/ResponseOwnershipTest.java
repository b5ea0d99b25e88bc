package org.whinhead.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Guards against bytes of an endpoint that are taken for the response to a request that they don't
 * belong to: it sends a part of a second response, or other bytes, at any moment.
 */
class ResponseOwnershipTest {

    private static final int[] STATUSES = {200, 204, 304, 404, 500, 503};

    private ConnectionFixture mFixture;

    /** What an endpoint sends beside its response. */
    private enum Extra {
        NOTHING {
            @Override
            String of(final String response, final int cut) {
                return "";
            }
        },
        PART {
            @Override
            String of(final String response, final int cut) {
                return response.substring(0, cut % response.length());
            }
        },
        END {
            @Override
            String of(final String response, final int cut) {
                return response.substring(cut % response.length());
            }
        },
        WHOLE {
            @Override
            String of(final String response, final int cut) {
                return response;
            }
        },
        WHOLE_AND_PART {
            @Override
            String of(final String response, final int cut) {
                return response + PART.of(response, cut);
            }
        },
        PART_WITHOUT_ID {
            @Override
            String of(final String response, final int cut) {
                final String other = "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec\r\nContent-Type: a\r\n";
                return other.substring(0, cut % other.length());
            }
        },
        NAME_AND_BLANK {
            @Override
            String of(final String response, final int cut) {
                return "HTTP/1.1 200 OK\r\nDate" + (cut % 2 == 0 ? " " : "\t");
            }
        },
        LINE_ENDS {
            @Override
            String of(final String response, final int cut) {
                return "\r\n".repeat(1 + cut % 3);
            }
        },
        NO_HTTP {
            @Override
            String of(final String response, final int cut) {
                return "x".repeat(1 + cut % 20);
            }
        };

        abstract String of(String response, int cut);
    }

    /** When the endpoint sends that. */
    private enum Moment {
        WITH_RESPONSE,
        RIGHT_AFTER_RESPONSE,
        WHILE_IDLE,
        AFTER_NEXT_REQUEST
    }

    /**
     * A request and what its endpoint sends.
     *
     * @param framing how the response tells where it ends
     * @param status the status of the response
     * @param idFirst whether the id is the first field of the head
     * @param extra what is sent beside it
     * @param cut where that is cut
     * @param moment when it is sent
     * @param segment the most bytes that are read at once
     */
    private record Step(
            ResponseFraming framing,
            int status,
            boolean idFirst,
            Extra extra,
            int cut,
            Moment moment,
            int segment) {

        boolean hasBody() {
            return status != 204 && status != 304;
        }

        boolean endsWithConnection() {
            return framing == ResponseFraming.UNTIL_CLOSED && hasBody();
        }

        /** Returns the extra bytes; whatever comes before the connection ends is its body. */
        String extraBytes(final int number) {
            return endsWithConnection() ? "" : extra.of(response(number), cut);
        }

        String body(final int number) {
            return hasBody() ? "body of " + number : "";
        }

        String response(final int number) {
            final String id = "Request: r" + number + "\r\n";
            final String other = "Date: Sat, 05 Dec 2026\r\nSignature: s" + number + "\r\n";
            final String head =
                    "HTTP/1.1 " + status + " Reason\r\n" + (idFirst ? id + other : other + id);
            return hasBody() ? framing.render(head, body(number)) : head + "\r\n";
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(ResponseFraming.class),
                        Arbitraries.integers().between(0, STATUSES.length - 1),
                        Arbitraries.of(true, false),
                        Arbitraries.of(Extra.class),
                        Arbitraries.integers().between(0, 300),
                        Arbitraries.of(Moment.class),
                        Arbitraries.integers().between(1, 400))
                .as(
                        (framing, status, idFirst, extra, cut, moment, segment) ->
                                new Step(
                                        framing,
                                        STATUSES[status],
                                        idFirst,
                                        extra,
                                        cut,
                                        moment,
                                        segment))
                .list()
                .ofMinSize(2)
                .ofMaxSize(5);
    }

    @Property(tries = 5_000, seed = "78")
    void eachRequestGetsItsOwnResponseOrFailure(@ForAll("steps") final List<Step> steps) {
        String late = "";
        mFixture = null;
        for (int number = 0; number < steps.size(); number++) {
            if (mFixture == null || !mFixture.connection().isUsable()) {
                mFixture = new ConnectionFixture();
                late = "";
            }
            final Step step = steps.get(number);
            final Receiver receiver = new Receiver("r" + number);
            final String extra = step.extraBytes(number);
            mFixture.send(step.framing().method(), receiver);
            respond(step, late + step.response(number), extra);
            receiver.check(step, step.body(number), late.isBlank());
            late = step.moment() == Moment.AFTER_NEXT_REQUEST ? extra : "";
        }
    }

    private void respond(final Step step, final String response, final String extra) {
        if (step.moment() == Moment.WITH_RESPONSE) {
            mFixture.read(response + extra, step.segment());
        } else {
            mFixture.read(response, step.segment());
        }
        if (step.moment() == Moment.RIGHT_AFTER_RESPONSE) {
            mFixture.read(extra, step.segment());
        }
        if (step.endsWithConnection()) {
            mFixture.endInput();
        }
        mFixture.endTurn();
        if (step.moment() == Moment.WHILE_IDLE) {
            mFixture.read(extra, step.segment());
            mFixture.endTurn();
        }
    }

    /** Receives a response as an exchange does: one that names another request is given up. */
    private final class Receiver implements EndpointResponseListener {
        private final String mId;
        private final StringBuilder mBody = new StringBuilder();
        private int mStatus;
        private boolean mCompleted;
        private boolean mFailed;

        private Receiver(final String id) {
            mId = id;
        }

        private void check(final Step step, final String body, final boolean isClean) {
            assertThat(mCompleted).isNotEqualTo(mFailed);
            if (mCompleted) {
                assertThat(mStatus).isEqualTo(step.status());
                assertThat(mBody.toString()).isEqualTo(step.framing().receivedBody(body));
            }
            if (isClean) {
                assertThat(mCompleted)
                        .as("response to a request before which all was clean")
                        .isTrue();
            }
        }

        @Override
        public void headReceived(final EndpointResponse response) {
            mStatus = response.status().code();
            if (!response.requestId().equals(Optional.of(mId))) {
                mFailed = true;
                mFixture.connection().cancel();
            }
        }

        @Override
        public void bodyReceived(final ByteBuf bytes) {
            mBody.append(bytes.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void completed(final ResponseEnd end) {
            mCompleted = true;
        }

        @Override
        public void pathLost() {
            throw new AssertionError("not lost");
        }

        @Override
        public void failed(final EndpointFailure failure) {
            mFailed = true;
        }
    }
}
