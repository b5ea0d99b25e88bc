/** Runs one deployment in one process and reclaims a failure domain halfway. */
package org.whinhead.demo;
