package org.whinhead.settings.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.settings.SettingsException;
import org.whinhead.settings.SettingsProblem;
import org.whinhead.settings.json.DocumentSchema;
import org.whinhead.settings.json.JsonPaths;
import org.whinhead.settings.json.JsonText;

/** Reads the settings file of a daemon and reports all of its problems at once. */
public final class SettingsReader {

    private static final DocumentSchema SCHEMA = DocumentSchema.load("daemon-1.json");

    private SettingsReader() {}

    /**
     * Reads and validates a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException if the file cannot be read or is invalid
     */
    public static DaemonSettings read(final Path file) throws SettingsException {
        return parse(file.toString(), readText(file));
    }

    /**
     * Parses and validates the text of a settings file.
     *
     * @param source the name of the text in errors
     * @param text the text
     * @return the settings
     * @throws SettingsException if the text is invalid
     */
    public static DaemonSettings parse(final String source, final String text)
            throws SettingsException {
        final JsonNode document = JsonText.parseAllowingDuplicateKeys(source, text);
        final List<SettingsProblem> problems = new ArrayList<>(JsonText.findDuplicateKeys(text));
        problems.addAll(SCHEMA.check(document));
        problems.addAll(DaemonSettingsRules.check(document));
        if (!problems.isEmpty()) {
            throw new SettingsException(source, problems);
        }
        return DaemonSettingsDecoder.decode(document);
    }

    private static String readText(final Path file) throws SettingsException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException(
                    file.toString(),
                    List.of(
                            SettingsProblem.of(
                                    JsonPaths.ROOT,
                                    "settings.unreadable",
                                    e.getClass().getSimpleName())));
        }
    }
}
