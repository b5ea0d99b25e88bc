package org.whinhead.settings;

import java.io.Serial;
import java.util.List;
import java.util.stream.Collectors;

/** Exception for invalid or unreadable settings; lists every problem found, in a fixed order. */
public final class SettingsException extends Exception {

    @Serial private static final long serialVersionUID = 1L;

    private final String mSource;
    private final transient List<SettingsProblem> mProblems;

    /**
     * Creates an exception for the problems of one source.
     *
     * @param source the file or the path of the document
     * @param problems the problems found in it, at least one
     */
    public SettingsException(final String source, final List<SettingsProblem> problems) {
        super(describe(source, problems));
        mSource = source;
        mProblems = problems.stream().sorted().distinct().toList();
    }

    private static String describe(final String source, final List<SettingsProblem> problems) {
        return problems.stream()
                .sorted()
                .distinct()
                .map(problem -> source + ": " + problem)
                .collect(Collectors.joining("\n"));
    }

    /** Returns the file or the path of the document. */
    public String source() {
        return mSource;
    }

    /** Returns every problem, sorted by JSON path. */
    public List<SettingsProblem> problems() {
        return mProblems;
    }
}
