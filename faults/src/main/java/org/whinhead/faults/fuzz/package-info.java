/** Random sequences of faults and requests, checked by the same oracles as the fault matrix. */
package org.whinhead.faults.fuzz;
