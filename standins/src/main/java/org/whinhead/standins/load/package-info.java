/** The load program: plays a deployment's callers against daemons and accounts for each request. */
package org.whinhead.standins.load;
