/** The fold of the log's records: each applied once, in offset order, the same on every daemon. */
package org.whinhead.state.fold;
