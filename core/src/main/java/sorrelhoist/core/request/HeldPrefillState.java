package sorrelhoist.core.request;

/**
 * A prefill state that an engine holds until a decode engine fetches it.
 *
 * @param engine the engine that prefilled the prompt
 * @param stateId name of the state at that engine
 */
public record HeldPrefillState(String engine, String stateId) {}
