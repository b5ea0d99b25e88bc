/** The subcommands, one class each. */
package org.whinhead.cli.command;
