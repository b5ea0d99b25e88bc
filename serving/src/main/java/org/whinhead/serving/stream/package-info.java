/**
 * Streams that break off: at which software version each began, so that it continues there only.
 */
package org.whinhead.serving.stream;
