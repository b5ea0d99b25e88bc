/**
 * Decisions of the serving path: which route, which endpoint, whether again, within which limits.
 */
package org.whinhead.serving;
