package org.whinhead.cli;

/** One sub-command. */
public interface Command {

    /**
     * Runs the command.
     *
     * @param invocation the parsed command line
     * @param console where the answer goes
     * @return what the process ends with
     * @throws CliException if the command ends early
     */
    ExitCode run(Invocation invocation, Console console) throws CliException;
}
