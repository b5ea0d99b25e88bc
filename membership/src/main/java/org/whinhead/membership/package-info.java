/**
 * Membership: failure detection and gossip between daemons about live, suspect, leaving and gone
 * VMs.
 */
package org.whinhead.membership;
