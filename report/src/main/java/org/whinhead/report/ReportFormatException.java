package org.whinhead.report;

import java.io.Serial;

/** What a daemon answered is not a report that this program reads. */
public final class ReportFormatException extends Exception {

    @Serial private static final long serialVersionUID = 1L;

    ReportFormatException(final String detail, final Throwable cause) {
        super(detail, cause);
    }
}
