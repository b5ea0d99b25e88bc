/** The callers' HTTP interface: authentication, validation, answers, refusals, back pressure. */
package org.whinhead.daemon.caller;
