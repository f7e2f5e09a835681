package sorrelhoist.core.life;

/**
 * A read state that waits at a reader.
 *
 * @param engine the reader
 * @param state the state's name there
 */
public record Held(String engine, String state) {}
