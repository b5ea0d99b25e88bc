/** What the stand-ins saw, so that redone work and repeated executions can be counted. */
package org.whinhead.standins.witness;
