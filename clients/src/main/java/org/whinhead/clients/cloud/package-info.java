/** Client of the cloud API. */
package org.whinhead.clients.cloud;
