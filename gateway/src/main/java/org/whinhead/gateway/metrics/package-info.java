/** Counts of requests, and the page that shows them. */
package org.whinhead.gateway.metrics;
