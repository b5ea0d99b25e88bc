/** What the system writes on the log: typed records with unique identities, and their JSON form. */
package org.whinhead.state.record;
