/** Simulation of roll-outs with many daemons, one lease holder and good or bad versions. */
package org.whinhead.simulation.rollout;
