/** The endpoints that the store lists: which exist, which are leaving and which have lapsed. */
package org.whinhead.serving.endpoint;
