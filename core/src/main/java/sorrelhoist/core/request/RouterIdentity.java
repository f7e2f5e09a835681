package sorrelhoist.core.request;

/**
 * Identifies a router process, so that the names of its requests differ from those of all other
 * routers and of earlier processes of the same router.
 *
 * @param name name of the router; part of every request name
 * @param incarnation increases with every start, so that request names are never reused
 */
public record RouterIdentity(String name, long incarnation) {}
