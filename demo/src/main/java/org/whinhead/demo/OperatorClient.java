package org.whinhead.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.whinhead.settings.deployment.DocumentList;

/** Client of the daemons' operator interface. */
final class OperatorClient {

    private static final String KEY = "example-operator-key-on-call";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final long NO_REVISION = -1;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final HttpClient mClient = HttpClient.newHttpClient();

    /** Returns whether a daemon is ready to serve callers. */
    boolean isReady(final URI daemon) throws IOException, InterruptedException {
        return send(daemon, "/health/ready", HttpRequest.newBuilder()).statusCode() == OK;
    }

    /** Returns whether a daemon has caught up with the log and the log answers it. */
    boolean isFollowingLog(final URI daemon) throws IOException, InterruptedException {
        final JsonNode status = status(daemon);
        return status.at("/log/caughtUp").asBoolean() && status.at("/log/answering").asBoolean();
    }

    /** Returns the settings revision that a daemon has in force. */
    long settingsRevision(final URI daemon) throws IOException, InterruptedException {
        return status(daemon).path("settingsRevision").asLong();
    }

    /**
     * Creates a document at a path that has none.
     *
     * @return the revision of the change
     * @throws IOException if the change is refused or not answered
     */
    long putDocument(final URI daemon, final DocumentList.Entry entry)
            throws IOException, InterruptedException {
        final ObjectNode body = mMapper.createObjectNode();
        body.put("changeId", "demo " + entry.path().text())
                .put("path", entry.path().text())
                .put("baseRevision", NO_REVISION)
                .put("author", "demo")
                .put("reason", "the example's settings")
                .put("dryRun", false)
                .set("document", mMapper.readTree(entry.text()));
        final HttpRequest.Builder request =
                HttpRequest.newBuilder().POST(BodyPublishers.ofString(body.toString()));
        final HttpResponse<String> answer = send(daemon, "/operator/settings", request);
        if (answer.statusCode() != OK) {
            throw new IOException(entry.path().text() + ": " + answer.body());
        }
        return mMapper.readTree(answer.body()).path("revision").asLong();
    }

    private JsonNode status(final URI daemon) throws IOException, InterruptedException {
        return mMapper.readTree(send(daemon, "/operator/status", HttpRequest.newBuilder()).body());
    }

    private HttpResponse<String> send(
            final URI daemon, final String path, final HttpRequest.Builder request)
            throws IOException, InterruptedException {
        return mClient.send(
                request.uri(daemon.resolve(path))
                        .timeout(TIMEOUT)
                        .header("Authorization", "Bearer " + KEY)
                        .build(),
                BodyHandlers.ofString());
    }
}
