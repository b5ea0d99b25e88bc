package org.whinhead.bench.retries;

/** The fault injected into an engine. */
enum EngineFault {
    /** No fault. */
    NONE,
    /** New connections fail; open streams continue. */
    UNREACHABLE,
    /** Open streams are cut, and new streams are cut shortly after they start. */
    CUTS_STREAMS,
    /** Connections succeed but carry no data, while the engine continues to compute. */
    SILENT
}
