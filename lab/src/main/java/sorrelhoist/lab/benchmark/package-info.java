/**
 * Benchmarks of edges as processes on this machine. Each benchmark is given a started {@link
 * sorrelhoist.lab.fleet.ProcessFleet}, owns its clients, and reports lines for people.
 */
package sorrelhoist.lab.benchmark;
