/** Reports between daemons: who is up, what is under way, spent and counted. */
package org.whinhead.gateway.peers;
