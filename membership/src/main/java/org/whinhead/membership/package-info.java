/** Who is live, suspect, leaving or gone, decided from lagging lists, notices and heartbeats. */
package org.whinhead.membership;
