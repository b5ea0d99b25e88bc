/**
 * Capacity planning: the number of endpoints of each kind that are ordered in each failure domain.
 */
package org.whinhead.serving.capacity;
