/**
 * The adapter between the simulator's line protocol (JSON objects on standard input and output) and
 * the routing policy. It only translates messages; all decisions are made by the routing policy.
 *
 * <p>{@link sorrelhoist.adapter.SimulatorAdapter} owns all state: the hosted routing policies by
 * router id and the endpoint lists that the simulator defined. All code runs on the caller's
 * thread. The platform module also uses {@link sorrelhoist.adapter.JsonObject}, {@link
 * sorrelhoist.adapter.JsonObjectReader} and {@link sorrelhoist.adapter.SettingsDecoder}, since its
 * configuration has the same format.
 */
package sorrelhoist.adapter;
