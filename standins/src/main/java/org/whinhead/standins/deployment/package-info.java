/** Runs all stand-ins of one deployment, inside a JVM or as a separate process. */
package org.whinhead.standins.deployment;
