/** Limits that all daemons keep together without exchanging messages. */
package org.whinhead.serving.limit;
