/** Identifiers and specifications of requests and attempts. */
package org.whinhead.api.request;
