/** Policies of capacity over simulated days. */
package org.whinhead.bench.days;
