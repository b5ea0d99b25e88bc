/** What the callers saw: one result for each request, and the totals of a run. */
package org.whinhead.standins.load.result;
