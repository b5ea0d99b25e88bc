package org.whinhead.demo;

/** Keeps the logs of daemons off standard output, which belongs to results. */
public final class DemoLogs {

    private static final String PROPERTY = "logback.configurationFile";
    private static final String SETTINGS = "org/whinhead/demo/logback.xml";

    private DemoLogs() {}

    /** Sends warnings to standard error; to be called before the first logger is made. */
    public static void toStandardError() {
        if (System.getProperty(PROPERTY) == null) {
            System.setProperty(PROPERTY, SETTINGS);
        }
    }
}
