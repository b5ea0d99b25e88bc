/** Endpoints as the store lists them: which exist, which are leaving, which lapsed. */
package org.whinhead.serving.endpoint;
