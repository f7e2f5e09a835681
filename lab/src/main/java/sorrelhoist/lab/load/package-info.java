/**
 * The load of a scenario: requests drawn ahead from its seed, a client of edges that sends them,
 * and the trace of what the clients saw. {@link sorrelhoist.lab.load.InferenceClient} owns its
 * connections; {@link sorrelhoist.lab.load.ClientTraceWriter} owns its file.
 */
package sorrelhoist.lab.load;
