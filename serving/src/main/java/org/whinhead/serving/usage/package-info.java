/** Usage: how many requests of each customer began to run in each window of true time. */
package org.whinhead.serving.usage;
