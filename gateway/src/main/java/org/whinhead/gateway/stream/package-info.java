/** Finds where streams began that callers resume. */
package org.whinhead.gateway.stream;
