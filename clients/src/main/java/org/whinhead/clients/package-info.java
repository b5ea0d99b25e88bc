/** Clients of the platform and of endpoints: log service, VM list, cloud, weight store, engines. */
package org.whinhead.clients;
