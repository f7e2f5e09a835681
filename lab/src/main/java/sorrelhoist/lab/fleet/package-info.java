/**
 * Fleets of processes on this machine, and the running of scenarios on them.
 *
 * <p>A {@link sorrelhoist.lab.fleet.ProcessFleet} owns its processes and clients. A {@link
 * sorrelhoist.lab.fleet.ScenarioRunner} sends a scenario's load, carries out its actions when they
 * are due and has the judge read the traces at the end.
 */
package sorrelhoist.lab.fleet;
