package org.whinhead.cli.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class OperatorHttpClientTest {

    private static final int CALLS = 400;

    // Guards against a NullPointerException in place of a failed call: the daemon closed the
    // connection while the calling thread was writing the request, and the IO thread of the
    // connection was cleaning it up at that moment.
    @Test
    void connectionThatClosesDuringTheRequestFailsTheCall() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                OperatorHttpClient exchange = new OperatorHttpClient(Duration.ofSeconds(10))) {
            final Thread closer = new Thread(() -> closeEach(server));
            closer.setDaemon(true);
            closer.start();
            final URI base = URI.create("http://127.0.0.1:" + server.getLocalPort());
            for (int call = 0; call < CALLS; call++) {
                assertThatThrownBy(
                                () ->
                                        exchange.call(
                                                base, Methods.POST, "/a", Optional.empty(), "{}"))
                        .isInstanceOf(HttpCallException.class);
            }
            assertThat(server.isClosed()).isFalse();
        }
    }

    private static void closeEach(final ServerSocket server) {
        while (!server.isClosed()) {
            try {
                server.accept().close();
            } catch (IOException e) {
                return;
            }
        }
    }
}
