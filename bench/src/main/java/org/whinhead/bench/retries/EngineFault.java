package org.whinhead.bench.retries;

/** What is wrong with an engine. */
enum EngineFault {
    /** Nothing. */
    NONE,
    /** No connection can be made; streams that were open run on. */
    UNREACHABLE,
    /** Streams are cut, and new ones are cut a little after they began. */
    CUTS_STREAMS,
    /** Connections are made and nothing comes over them, while the engine works on. */
    SILENT
}
