/** The records on the log, typed and with unique identities, and their JSON format. */
package org.whinhead.state.record;
