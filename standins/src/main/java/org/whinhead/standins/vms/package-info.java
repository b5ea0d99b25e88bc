/** A stand-in VM list, which returns live and leaving VMs with a lag. */
package org.whinhead.standins.vms;
