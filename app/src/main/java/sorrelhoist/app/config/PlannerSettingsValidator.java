package sorrelhoist.app.config;

import sorrelhoist.planner.PlannerSettings;

/** Validates the constraints on a planner's settings that their types do not express. */
final class PlannerSettingsValidator {
    private static final long MINUTE_MILLIS = 60_000;
    private static final long HOUR_MILLIS = 3_600_000;

    private PlannerSettingsValidator() {}

    /** Validates settings. */
    static void validate(PlannerSettings s, SettingsErrors errors) {
        errors.requirePort("port", s.port());
        errors.requireAddress("registry", s.registry());
        errors.requireNotEmpty("app", s.app());
        errors.requireRange("edges", s.edges(), 1, 10_000);
        errors.requireRange("pollMs", s.pollMs(), 10, MINUTE_MILLIS);
        errors.requireRange("registryTimeoutMs", s.registryTimeoutMs(), 10, MINUTE_MILLIS);
        errors.requireRange("seatMs", s.seatMs(), 0, HOUR_MILLIS);
        errors.requireRange("doubtMs", s.doubtMs(), 0, HOUR_MILLIS);
        errors.requireRange("probeTimeoutMs", s.probeTimeoutMs(), 1, MINUTE_MILLIS);
        errors.requireRange("probesAtOnce", s.probesAtOnce(), 1, 100_000);
    }
}
