/** A small world in one thread: fake back ends, daemons and callers around real coordinators. */
package org.whinhead.faults.world;
