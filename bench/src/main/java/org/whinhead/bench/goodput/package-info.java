/** Admission under overload, against no limits. */
package org.whinhead.bench.goodput;
