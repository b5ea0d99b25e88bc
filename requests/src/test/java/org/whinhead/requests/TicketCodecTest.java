package org.whinhead.requests;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.RequestException;
import org.whinhead.api.verdict.Verdict;

class TicketCodecTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final CustomerId CLINIC = new CustomerId("clinic");
    private static final TicketKey OLD = key("old");
    private static final TicketKey NEW = key("new");
    private static final Ticket TICKET =
            new Ticket(
                    new AttemptId(new RequestId("r1"), 2),
                    CLINIC,
                    new EndpointId("engine-1"),
                    "s9",
                    3,
                    false,
                    NOW.plusSeconds(30));

    @Test
    void ticketOfRotatedKeyIsAcceptedUntilTheKeyIsRemoved() throws RequestException {
        final String text = new TicketCodec(List.of(OLD)).write(TICKET);
        final TicketCodec rotated = new TicketCodec(List.of(NEW, OLD));
        assertThat(rotated.read(text, CLINIC, NOW)).isEqualTo(TICKET);
        assertThat(refusalOf(new TicketCodec(List.of(NEW)), text, CLINIC, NOW))
                .isEqualTo("The ticket can not be used: its signature is not valid");
    }

    /**
     * Guards against a ticket of another customer, with which a caller could read a foreign answer,
     * and against an expired ticket, with which it would wait for an answer that never arrives.
     */
    @Test
    void ticketIsValidOnlyForItsCustomerUntilItsDeadline() {
        final TicketCodec codec = new TicketCodec(List.of(NEW));
        final String text = codec.write(TICKET);
        assertThat(refusalOf(codec, text, new CustomerId("other"), NOW))
                .isEqualTo("The ticket can not be used: it belongs to another customer");
        assertThat(refusalOf(codec, text, CLINIC, TICKET.deadline()))
                .isEqualTo("The ticket can not be used: it has expired");
    }

    /** Guards against a caller that modifies its ticket to read another caller's stream. */
    @Property(seed = "20261202", tries = 300)
    void modifiedTicketIsRefused(
            @ForAll @IntRange(min = 0, max = 400) final int position, @ForAll final char changed) {
        final TicketCodec codec = new TicketCodec(List.of(NEW));
        final StringBuilder text = new StringBuilder(codec.write(TICKET));
        final int index = position % text.length();
        if (text.charAt(index) != changed) {
            text.setCharAt(index, changed);
            assertThat(refusalOf(codec, text.toString(), CLINIC, NOW)).isNotEmpty();
        }
    }

    private static String refusalOf(
            final TicketCodec codec,
            final String text,
            final CustomerId caller,
            final Instant now) {
        final RequestException refused =
                catchThrowableOfType(RequestException.class, () -> codec.read(text, caller, now));
        assertThat(refused.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        return refused.getMessage();
    }

    private static TicketKey key(final String name) {
        return new TicketKey(name, (name + "-".repeat(32)).getBytes(StandardCharsets.UTF_8));
    }
}
