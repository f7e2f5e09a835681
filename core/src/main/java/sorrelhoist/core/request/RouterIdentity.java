package sorrelhoist.core.request;

/**
 * What tells a router's requests from those of all others, and of its own earlier processes.
 *
 * @param name the router's name; part of every request's name
 * @param incarnation grows with every start, so that names are never used again
 */
public record RouterIdentity(String name, long incarnation) {}
