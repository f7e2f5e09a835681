package sorrelhoist.core.request;

/**
 * A prefill state that waits to be fetched.
 *
 * @param engine the engine that has read the prompt
 * @param stateId the state's name there
 */
public record HeldPrefillState(String engine, String stateId) {}
