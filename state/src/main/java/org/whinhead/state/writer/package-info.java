/** The logic of appending to and reading from one stream of the log, without I/O. */
package org.whinhead.state.writer;
