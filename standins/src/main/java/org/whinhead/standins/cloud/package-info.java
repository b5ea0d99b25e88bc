/** A stand-in cloud: starts, stops and reclaims VMs, announces reclaims and lists prices. */
package org.whinhead.standins.cloud;
