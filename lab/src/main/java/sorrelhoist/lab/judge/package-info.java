/**
 * Judges a scenario by what its clients and stand-ins saw on the wire, and by nothing that the
 * router says of itself. It shares no code with the router.
 *
 * <p>{@link sorrelhoist.lab.judge.Judge} reads the trace once into {@code RequestHistory}, {@code
 * Outages} and {@code AttemptHistory}, which no one changes afterwards; a class for each rule
 * checks them and adds to {@code RuleViolations}. {@link sorrelhoist.lab.judge.Verdict} is the
 * result.
 */
package sorrelhoist.lab.judge;
