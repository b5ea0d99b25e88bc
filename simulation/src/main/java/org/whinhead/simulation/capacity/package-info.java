/** Simulation of days of demand and reclaims with the daemons' capacity planner. */
package org.whinhead.simulation.capacity;
