/**
 * Messages between routers and engines, and between engines: engine.proto as records.
 *
 * <p>The records are immutable and hold no state of a call; {@link
 * sorrelhoist.protocol.engine.EngineApi} names the methods.
 */
package sorrelhoist.protocol.engine;
