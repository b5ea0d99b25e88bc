package org.whinhead.demo;

/** Configures logging so that standard output has only results. */
public final class DemoLogs {

    private static final String PROPERTY = "logback.configurationFile";
    private static final String SETTINGS = "org/whinhead/demo/logback.xml";

    private DemoLogs() {}

    /** Sends warnings to standard error. Must be called before the first logger is created. */
    public static void toStandardError() {
        if (System.getProperty(PROPERTY) == null) {
            System.setProperty(PROPERTY, SETTINGS);
        }
    }
}
