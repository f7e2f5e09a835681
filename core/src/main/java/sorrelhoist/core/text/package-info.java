/** Estimates about the texts of requests. Without state. */
package sorrelhoist.core.text;
