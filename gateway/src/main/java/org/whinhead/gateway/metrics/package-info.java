/** Request counters and the metrics page. */
package org.whinhead.gateway.metrics;
