/** Plain HTTP calls and answers that fit into memory. */
package org.whinhead.gateway.http;
