/** Estimates properties of request texts. Stateless. */
package sorrelhoist.core.text;
