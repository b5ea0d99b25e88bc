/** The operators' HTTP interface: health, metrics, status, settings and decisions. */
package org.whinhead.daemon.operator;
