/**
 * Fleets in virtual time: real routers ({@code core} and {@code decide}) over small models of
 * engines, and studies on them. A fleet owns its clock, its routers and its engines, and everything
 * follows from its seed.
 */
package sorrelhoist.lab.sim;
