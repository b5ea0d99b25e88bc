/** The operators' HTTP interface: health, metrics and what the daemon knows. */
package org.whinhead.daemon.operator;
