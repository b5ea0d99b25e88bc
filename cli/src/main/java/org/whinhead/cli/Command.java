package org.whinhead.cli;

/** A subcommand of the command-line tool. */
public interface Command {

    /**
     * Runs the command.
     *
     * @param invocation the parsed command line
     * @param console receives the output
     * @return the exit code of the process
     * @throws CliException if the command fails
     */
    ExitCode run(Invocation invocation, Console console) throws CliException;
}
