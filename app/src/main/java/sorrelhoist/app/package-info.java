/**
 * The command line: one runnable jar with all programs and tools. {@link sorrelhoist.app.Main}
 * assembles the commands; it owns no state.
 */
package sorrelhoist.app;
