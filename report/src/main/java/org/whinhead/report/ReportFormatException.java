package org.whinhead.report;

import java.io.Serial;

/** Thrown if a daemon's answer is not a report in the supported form. */
public final class ReportFormatException extends Exception {

    @Serial private static final long serialVersionUID = 1L;

    ReportFormatException(final String detail, final Throwable cause) {
        super(detail, cause);
    }
}
