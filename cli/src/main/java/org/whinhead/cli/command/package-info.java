/** The sub-commands, one class each. */
package org.whinhead.cli.command;
