/** What the router must decide or remember beyond {@code Decide}: no I/O, no clock, no threads. */
package sorrelhoist.core;
