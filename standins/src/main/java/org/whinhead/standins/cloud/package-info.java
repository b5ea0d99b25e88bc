/** A stand-in cloud: starts and stops VMs, takes them back with notice, and tells prices. */
package org.whinhead.standins.cloud;
