/** Decisions on appending to and reading from one stream of the log. */
package org.whinhead.state.writer;
