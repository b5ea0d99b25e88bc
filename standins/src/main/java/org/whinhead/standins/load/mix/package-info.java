/** The workload of each deployment, as data, and the seeded generation of its requests. */
package org.whinhead.standins.load.mix;
