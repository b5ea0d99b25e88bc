/** Texts shown to people, looked up by named key. */
package org.whinhead.api.message;
