/** Which requests are placed at once, wait at their daemon or are refused, by rank and wait. */
package org.whinhead.serving.admission;
