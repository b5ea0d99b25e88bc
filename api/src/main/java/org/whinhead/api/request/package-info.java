/** Identities and descriptions of requests and attempts. */
package org.whinhead.api.request;
