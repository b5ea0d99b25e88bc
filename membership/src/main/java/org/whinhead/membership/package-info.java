/** Which VMs are live, suspect, leaving or gone, and how daemons tell each other. */
package org.whinhead.membership;
