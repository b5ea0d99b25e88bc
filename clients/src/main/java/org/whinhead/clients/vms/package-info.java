/** Client of the platform's VM list. */
package org.whinhead.clients.vms;
