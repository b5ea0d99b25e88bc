/** Token rate limits per team, shared by many daemons. */
package org.whinhead.admission.budget;
