/** The lease of the duties that one daemon holds at a time, and what its holder decided. */
package org.whinhead.serving.duty;
