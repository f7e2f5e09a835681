/**
 * Describes the reasons of decisions ({@link sorrelhoist.routing.Reason}) in sentences for clients,
 * logs and operators. Stateless.
 */
package sorrelhoist.core.explain;
