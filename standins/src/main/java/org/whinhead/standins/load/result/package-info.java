/** The results of a load run: one for each request, and the totals. */
package org.whinhead.standins.load.result;
