/** The callers' HTTP interface: checks, answers, refusals and back pressure. */
package org.whinhead.daemon.caller;
