/**
 * Words for decisions: the reasons of {@link sorrelhoist.routing.Reason} as sentences for clients,
 * logs and operators. Without state.
 */
package sorrelhoist.core.explain;
