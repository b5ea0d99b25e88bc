/** Human-readable texts, looked up by key. */
package org.whinhead.api.message;
