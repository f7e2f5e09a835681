/**
 * A randomized fault soak of platform routers: real processes and sockets, stand-in workers,
 * discovery and clients, overlapping faults drawn from a seed, and an oracle that reads only what
 * clients and workers saw.
 */
package sorrelhoist.lab.soak;
