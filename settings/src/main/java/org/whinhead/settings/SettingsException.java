package org.whinhead.settings;

import java.io.Serial;
import java.util.List;
import java.util.stream.Collectors;

/** Settings could not be taken; the exception lists every problem found, in a fixed order. */
public final class SettingsException extends Exception {

    @Serial private static final long serialVersionUID = 1L;

    private final String mSource;
    private final transient List<SettingsProblem> mProblems;

    /**
     * Reports the problems of one source.
     *
     * @param source the file or the path of the document
     * @param problems what is wrong with it, at least one
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

    /** Returns every problem, sorted by place. */
    public List<SettingsProblem> problems() {
        return mProblems;
    }
}
