/** A stand-in VM list, which shows live and leaving VMs with a lag. */
package org.whinhead.standins.vms;
