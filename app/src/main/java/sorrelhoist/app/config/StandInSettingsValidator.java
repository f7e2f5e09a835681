package sorrelhoist.app.config;

import java.util.Set;
import sorrelhoist.standin.engine.EngineSettings;
import sorrelhoist.standin.registry.RegistryStandIn;

/** Validates the constraints on the stand-ins' settings that their types do not express. */
final class StandInSettingsValidator {
    private static final double HOUR_MICROS = 3.6e9;

    private StandInSettingsValidator() {}

    /** Validates the settings of an engine. */
    static void validate(EngineSettings s, SettingsErrors errors) {
        errors.requireNotEmpty("id", s.id());
        errors.requireWord("role", s.role(), Set.of("read", "write", "both"));
        errors.requirePort("port", s.port());
        if (!s.registry().isEmpty()) {
            errors.requireAddress("registry", s.registry());
        }
        errors.requireRange("renewMicros", s.renewMicros(), 1000, HOUR_MICROS);
        errors.requireRange("leaseMicros", s.leaseMicros(), s.renewMicros(), HOUR_MICROS);
        errors.requireRange("slots", s.slots(), 1, 100_000);
        errors.requireRange("queue", s.queue(), 0, 1_000_000);
        errors.requireRange("memoryTokens", s.memoryTokens(), 1, 1e12);
        errors.requireRange("keptTokens", s.keptTokens(), 0, 1e12);
        errors.requireRange("readPerSecond", s.readPerSecond(), 1, 1e12);
        errors.requireRange("stepMicros", s.stepMicros(), 1, 1e9);
        errors.requireRange("perAnswerMicros", s.perAnswerMicros(), 0, 1e9);
        errors.requireRange("chunkTokens", s.chunkTokens(), 1, 1e9);
        errors.requireRange("moveTokensPerSecond", s.moveTokensPerSecond(), 1, 1e12);
        errors.requireRange("farTokensPerSecond", s.farTokensPerSecond(), 1, 1e12);
        errors.requireRange("coldFrom", s.coldFrom(), 0.01, 1);
        errors.requireRange("coldMicros", s.coldMicros(), 0, HOUR_MICROS);
        errors.requireRange("fallMultiple", s.fallMultiple(), 0.1, 1000);
        errors.requireRange("fallMicros", s.fallMicros(), 1000, HOUR_MICROS);
        errors.requireRange("warmSendsPerSecond", s.warmSendsPerSecond(), 0, 1e9);
        errors.requireRange("stateLimitMicros", s.stateLimitMicros(), 1000, HOUR_MICROS);
    }

    /** Validates the settings of a registry. */
    static void validate(RegistryStandIn.Settings s, SettingsErrors errors) {
        errors.requirePort("port", s.port());
        errors.requireRange("evictMicros", s.evictMicros(), 1000, HOUR_MICROS);
        errors.requireRange("deltaMicros", s.deltaMicros(), 1000, HOUR_MICROS);
    }
}
