/** Counts the requests of each customer that began to run in each window of true time. */
package org.whinhead.serving.usage;
