package sorrelhoist.core.request;

/** Carries out commands: one method for each, so that a new one cannot be forgotten. */
public interface CommandHandler extends ClientCommands, EngineCommands, PlannerCommands {}
