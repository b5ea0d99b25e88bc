/** What one daemon may run and spend: admission fed with the settings and endpoints in force. */
package org.whinhead.daemon.limits;
