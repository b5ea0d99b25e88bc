/** How many endpoints of which kind are ordered in which failure domain. */
package org.whinhead.serving.capacity;
