/** Roll-outs in simulated time: many daemons, one holder, versions that are good or bad. */
package org.whinhead.simulation.rollout;
