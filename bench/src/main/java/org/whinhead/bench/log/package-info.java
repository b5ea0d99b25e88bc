/** What the shared state costs in time, through whole daemons. */
package org.whinhead.bench.log;
