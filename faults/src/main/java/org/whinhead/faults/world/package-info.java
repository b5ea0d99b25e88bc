/** A single-threaded simulation: fake back ends, daemons and callers around real coordinators. */
package org.whinhead.faults.world;
