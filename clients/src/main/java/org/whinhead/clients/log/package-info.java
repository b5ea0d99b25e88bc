/** Client of the log service. */
package org.whinhead.clients.log;
