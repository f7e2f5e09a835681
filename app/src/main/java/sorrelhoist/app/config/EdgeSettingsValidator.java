package sorrelhoist.app.config;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sorrelhoist.edge.EdgeSettings;

/**
 * Validates the constraints on an edge's settings that their types do not express: ranges, allowed
 * strings, and consistency between settings.
 */
final class EdgeSettingsValidator {
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long DAY_MILLIS = 86_400_000;
    private static final int MIN_SECRET_BYTES = 16;
    private static final String READ = "read";
    private static final String WRITE = "write";
    private static final String BOTH = "both";

    private final SettingsErrors errors;

    private EdgeSettingsValidator(SettingsErrors errors) {
        this.errors = errors;
    }

    /** Validates settings. */
    static void validate(EdgeSettings settings, SettingsErrors errors) {
        new EdgeSettingsValidator(errors).validate(settings);
    }

    private void validate(EdgeSettings s) {
        errors.requireNotEmpty("name", s.name());
        errors.require(
                s.zones().contains(s.zone()),
                "zone",
                "\"" + s.zone() + "\" is not among zones " + s.zones());
        errors.requirePort("port", s.port());
        errors.requireAddress("planner", s.planner());
        errors.requireNotEmpty("model", s.model());
        errors.requireRange("routers", s.routers(), 1, 10_000);
        errors.require(!s.classes().isEmpty(), "classes", "at least one class is required");
        errors.requireDistinctNames("classes", s.classes(), EdgeSettings.ClassSettings::name);
        errors.requireDistinctNames("tenants", s.tenants(), EdgeSettings.TenantSettings::name);
        errors.requireDistinctNames("kinds", s.kinds(), EdgeSettings.KindSettings::name);
        for (int i = 0; i < s.classes().size(); i++) {
            validateClass("classes[" + i + "].", s.classes().get(i));
        }
        validateKinds(s.kinds());
        errors.requireRange("traceShare", s.traceShare(), 0, 1);
        validateKeys(s.teachKeys());
        validateRecord(s.record());
        validateLimits(s.limits());
        validateRules(s.rules());
        validateServing(s.serving());
    }

    private void validateClass(String path, EdgeSettings.ClassSettings c) {
        errors.requireRange(path + "aimMs", c.aimMs(), 1, HOUR_MILLIS);
        errors.requireRange(path + "aimMsPer1000", c.aimMsPer1000(), 0, HOUR_MILLIS);
        errors.requireRange(path + "deadlineMs", c.deadlineMs(), 1, HOUR_MILLIS);
        errors.require(
                c.deadlineMs() >= c.aimMs(), path + "deadlineMs", "must not be less than aimMs");
        errors.requireRange(path + "deadlineMsPer1000", c.deadlineMsPer1000(), 0, HOUR_MILLIS);
        errors.requireRange(path + "worth", c.worth(), 0, 1e9);
        errors.requireWord(path + "repeat", c.repeat(), Set.of("safe", "keyed", "unsafe"));
        errors.requireWord(path + "scope", c.scope(), Set.of("all", "zone", "cell"));
        errors.requireRange(path + "repeatWindowMs", c.repeatWindowMs(), 0, DAY_MILLIS);
    }

    private void validateKinds(List<EdgeSettings.KindSettings> kinds) {
        Set<String> roles = new HashSet<>();
        for (int i = 0; i < kinds.size(); i++) {
            EdgeSettings.KindSettings kind = kinds.get(i);
            String path = "kinds[" + i + "].";
            errors.requireWord(path + "role", kind.role(), Set.of(READ, WRITE, BOTH));
            errors.requireRange(path + "memoryTokens", kind.memoryTokens(), 1, 1e12);
            roles.add(kind.role());
        }
        errors.require(
                roles.contains(BOTH) || roles.containsAll(Set.of(READ, WRITE)),
                "kinds",
                "at least one kind has to read and one to write, or one to do both");
    }

    private void validateKeys(List<EdgeSettings.KeySettings> keys) {
        errors.requireDistinctNames("teachKeys", keys, EdgeSettings.KeySettings::id);
        for (int i = 0; i < keys.size(); i++) {
            int length = keys.get(i).secret().getBytes(StandardCharsets.UTF_8).length;
            errors.require(
                    length >= MIN_SECRET_BYTES,
                    "teachKeys[" + i + "].secret",
                    "must have at least " + MIN_SECRET_BYTES + " bytes");
        }
    }

    private void validateRecord(EdgeSettings.RecordSettings r) {
        errors.requireRange("record.megabytes", r.megabytes(), 1, 1_000_000);
        errors.requireRange("record.minutes", r.minutes(), 1, 1_000_000);
        errors.requireRange("record.keptMegabytes", r.keptMegabytes(), 1, 1_000_000);
    }

    private void validateLimits(EdgeSettings.LimitSettings l) {
        errors.requireRange("limits.maxAttempts", l.maxAttempts(), 2, 100);
        errors.requireRange("limits.maxBackoffMs", l.maxBackoffMs(), 0, HOUR_MILLIS);
        errors.requireRange("limits.probePrice", l.probePrice(), 0, 100);
        errors.requireRange("limits.tellPrice", l.tellPrice(), 0, 100);
        errors.requireRange("limits.overShareWorth", l.overShareWorth(), 0, 1);
        errors.requireWord("limits.reports", l.reports(), Set.of("none", "outcomes", "probes"));
    }

    private void validateRules(EdgeSettings.RuleSettings r) {
        errors.requireRange("rules.coldFrom", r.coldFrom(), 0.01, 1);
        errors.requireRange("rules.coldMs", r.coldMs(), 0, HOUR_MILLIS);
        errors.requireRange("rules.fallMultiple", r.fallMultiple(), 0.1, 1000);
        errors.requireRange("rules.fallMs", r.fallMs(), 1, HOUR_MILLIS);
        errors.requireRange("rules.releaseMs", r.releaseMs(), 50, HOUR_MILLIS);
    }

    private void validateServing(EdgeSettings.ServingSettings s) {
        errors.requireRange("serving.marginMs", s.marginMs(), 0, 10_000);
        errors.requireRange("serving.stallMs", s.stallMs(), 100, HOUR_MILLIS);
        errors.requireRange("serving.maxOpen", s.maxOpen(), 1, 10_000_000);
        errors.requireRange("serving.mostMaxTokens", s.mostMaxTokens(), 1, 1_000_000);
        errors.requireRange("serving.defaultMaxTokens", s.defaultMaxTokens(), 1, s.mostMaxTokens());
        errors.requireRange("serving.maxPromptBytes", s.maxPromptBytes(), 1, 64 << 20);
        errors.requireRange("serving.threads", s.threads(), 1, 256);
        errors.requireRange("serving.connectionsPerEngine", s.connectionsPerEngine(), 1, 1000);
        errors.requireRange("serving.dialMs", s.dialMs(), 1, 60_000);
        errors.requireRange("serving.idleMs", s.idleMs(), 100, DAY_MILLIS);
        errors.requireRange("serving.streamsPerConnection", s.streamsPerConnection(), 1, 1_000_000);
        errors.requireRange("serving.drainMs", s.drainMs(), 0, HOUR_MILLIS);
    }
}
