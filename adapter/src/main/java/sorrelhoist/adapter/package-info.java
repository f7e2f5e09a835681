/**
 * The adapter between the simulator's line protocol (JSON objects on standard input and output) and
 * the routing policy. It translates and decides nothing.
 *
 * <p>{@link sorrelhoist.adapter.SimulatorAdapter} owns all state: the hosted routing policies by
 * router id and the endpoint lists that the simulator defined. Everything runs on the thread that
 * calls it. The platform module shares {@link sorrelhoist.adapter.JsonObject}, {@link
 * sorrelhoist.adapter.JsonObjectReader} and {@link sorrelhoist.adapter.SettingsDecoder}, since its
 * configuration has the same form.
 */
package sorrelhoist.adapter;
