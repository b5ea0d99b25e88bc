package org.whinhead.clients.vms;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletionStage;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.clients.http.BufferedHttpClient;
import org.whinhead.clients.http.BufferedHttpResponse;
import org.whinhead.clients.http.HttpCaller;
import org.whinhead.clients.http.OutgoingRequest;

/** Reads the platform's VM list over HTTP. */
public final class VmListClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final String LEAVING = "leaving";

    private final BufferedHttpClient mClient;
    private final URI mBase;

    /**
     * Creates a client.
     *
     * @param caller the HTTP caller
     * @param base the base address of the VM list service
     */
    public VmListClient(final HttpCaller caller, final URI base) {
        mClient = new BufferedHttpClient(caller, TIMEOUT, MAX_RESPONSE_BYTES);
        mBase = base;
    }

    /** Reads the list; fails with an {@link IOException} if the call or the parsing fails. */
    public CompletionStage<VmListing> read() {
        return mClient.send(OutgoingRequest.to(mBase, "/vms").build())
                .thenApply(VmListClient::parse);
    }

    private static VmListing parse(final BufferedHttpResponse response) {
        try {
            if (response.status() != StatusCodes.OK) {
                throw new IOException("VM list request failed with status " + response.status());
            }
            final JsonNode root = MAPPER.readTree(response.body());
            final List<ListedVm> vms = new ArrayList<>();
            for (final JsonNode vm : root.path("vms")) {
                vms.add(parse(vm));
            }
            return new VmListing(Instant.parse(root.path("asOf").asText()), vms);
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        } catch (final IllegalArgumentException | DateTimeException e) {
            throw new UncheckedIOException(new IOException("invalid VM list", e));
        }
    }

    private static ListedVm parse(final JsonNode node) {
        final VmState state =
                LEAVING.equals(node.path("state").asText()) ? VmState.LEAVING : VmState.LIVE;
        final Vm vm =
                new Vm(
                        new VmId(node.path("id").asText()),
                        node.path("host").asText(),
                        new FailureDomain(
                                node.path("region").asText(), node.path("domain").asText()),
                        node.path("machineClass").asText(),
                        Billing.valueOf(enumName(node.path("billing").asText())),
                        state);
        return new ListedVm(
                vm,
                VmRole.valueOf(enumName(node.path("role").asText())),
                URI.create(node.path("uri").asText()),
                node.path("service").asText(""),
                node.path("checksFencing").asBoolean(),
                Math.max(1, node.path("slots").asInt(1)));
    }

    private static String enumName(final String wireName) {
        return wireName.toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
