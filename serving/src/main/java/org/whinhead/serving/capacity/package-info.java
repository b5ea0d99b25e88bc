/** Capacity planning: the number and kind of endpoints ordered in each failure domain. */
package org.whinhead.serving.capacity;
