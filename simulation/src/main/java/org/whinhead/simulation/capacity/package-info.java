/** Days of demand and reclaims in simulated time, planned for by the planner that daemons use. */
package org.whinhead.simulation.capacity;
