/** How many VMs of which class in which domain, and the orders that get there. */
package org.whinhead.fleet;
