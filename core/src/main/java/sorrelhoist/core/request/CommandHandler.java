package sorrelhoist.core.request;

/**
 * Executes commands. Has one method per command, so that the compiler rejects a handler that lacks
 * one.
 */
public interface CommandHandler extends ClientCommands, EngineCommands, PlannerCommands {}
