/** Random chains of faults and work, with the same oracle as the matrix. */
package org.whinhead.faults.fuzz;
