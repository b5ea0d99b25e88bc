/** Routing strategies under the same traffic, and how fast they decide. */
package org.whinhead.bench.routing;
