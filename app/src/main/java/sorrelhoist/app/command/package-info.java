/**
 * The commands of the command line, one class for each command or group of similar commands. A
 * command reads its options, delegates the work to another module and converts the result to an
 * exit status: 0 for success, 1 for a failure, 2 for wrong usage.
 */
package sorrelhoist.app.command;
