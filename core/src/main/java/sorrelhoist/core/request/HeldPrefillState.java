package sorrelhoist.core.request;

/**
 * A read state that waits at a reader.
 *
 * @param engine the reader
 * @param stateId the state's name there
 */
public record HeldPrefillState(String engine, String stateId) {}
