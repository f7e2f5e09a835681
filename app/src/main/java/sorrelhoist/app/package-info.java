/**
 * The command line: one runnable jar with all programs and tools. {@link sorrelhoist.app.Main}
 * assembles the commands and keeps no state.
 */
package sorrelhoist.app;
