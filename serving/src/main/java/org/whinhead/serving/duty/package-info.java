/** The lease on the duties, which one daemon holds at a time, and the decisions of its holder. */
package org.whinhead.serving.duty;
