/** All stand-ins of one deployment together, in a JVM or as a process of their own. */
package org.whinhead.standins.deployment;
