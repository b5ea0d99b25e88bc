package org.whinhead.demo;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.settings.SettingsException;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.SettingsReader;
import org.whinhead.settings.deployment.DocumentList;
import org.whinhead.standins.load.mix.Deployment;

/** Reads the settings of the example deployments from the class path. */
final class ExampleSettings {

    private static final int DAEMON_COUNT = 8;

    private final String mRoot;

    /**
     * Creates a reader of the settings of one deployment.
     *
     * @param deployment the deployment whose settings are read
     */
    ExampleSettings(final Deployment deployment) {
        mRoot = "/examples/" + deployment.workload().name() + '/';
    }

    /** Returns the settings of each daemon, with the addresses from the example. */
    List<DaemonSettings> daemons() throws IOException, SettingsException {
        final List<DaemonSettings> daemons = new ArrayList<>();
        for (int number = 1; number <= DAEMON_COUNT; number++) {
            final String name = mRoot + "daemons/entry-" + number + ".json";
            daemons.add(SettingsReader.parse(name, text(name)));
        }
        return daemons;
    }

    /** Returns the documents, in an order in which they can be put one by one. */
    List<DocumentList.Entry> documents() throws IOException, SettingsException {
        final String name = mRoot + "documents.json";
        return DocumentList.parse(name, text(name));
    }

    private static String text(final String name) throws IOException {
        try (InputStream file = ExampleSettings.class.getResourceAsStream(name)) {
            if (file == null) {
                throw new FileNotFoundException(name);
            }
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
