/** Small stand-ins of the outside systems, and the load program. */
package org.whinhead.standins;
