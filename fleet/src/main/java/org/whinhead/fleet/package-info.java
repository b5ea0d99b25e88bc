/**
 * Capacity planning: the VMs per class and domain, and the orders that start, drain and stop them.
 */
package org.whinhead.fleet;
