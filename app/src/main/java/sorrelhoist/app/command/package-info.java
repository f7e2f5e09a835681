/**
 * The commands of the command line, a class for each or for a few of a kind. A command reads its
 * options, starts what does the work in another module, and turns its result into an exit status: 0
 * for success, 1 for a failure, 2 for wrong usage.
 */
package sorrelhoist.app.command;
