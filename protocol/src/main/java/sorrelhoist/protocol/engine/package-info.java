/**
 * Messages between routers and engines, and between engines: the messages of engine.proto as
 * records.
 *
 * <p>The records are immutable and hold no call state. {@link
 * sorrelhoist.protocol.engine.EngineApi} lists the service's methods.
 */
package sorrelhoist.protocol.engine;
