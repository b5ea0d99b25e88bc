/** HTTP clients of the log service, the VM list, the cloud API and the model engines. */
package org.whinhead.clients;
