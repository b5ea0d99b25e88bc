/** Compares routing strategies under the same traffic, and their decision rates. */
package org.whinhead.bench.routing;
