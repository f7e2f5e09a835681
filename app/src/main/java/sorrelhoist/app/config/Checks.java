package sorrelhoist.app.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import sorrelhoist.edge.EdgeSettings;
import sorrelhoist.planner.PlannerSettings;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.standin.engine.EngineSettings;
import sorrelhoist.standin.registry.RegistryStandIn;

/** What types alone do not say of settings: ranges, words, and what has to fit together. */
final class Checks {
    private static final int PORTS = 65_535;
    private final List<String> faults;

    Checks(List<String> faults) {
        this.faults = faults;
    }

    private void require(boolean holds, String path, String what) {
        if (!holds) {
            faults.add(path + ": " + what);
        }
    }

    private void range(String path, double value, double least, double most) {
        require(
                value >= least && value <= most,
                path,
                "has to be from " + plain(least) + " to " + plain(most) + ", not " + plain(value));
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    private void word(String path, String value, Set<String> words) {
        require(
                words.contains(value),
                path,
                "has to be one of " + words.stream().sorted().toList() + ", not \"" + value + "\"");
    }

    private void address(String path, String value) {
        try {
            LoopbackTransport.parseAddress(value);
        } catch (IllegalArgumentException e) {
            faults.add(path + ": " + e.getMessage());
        }
    }

    private <T> void distinct(String path, List<T> list, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < list.size(); i++) {
            String n = name.apply(list.get(i));
            require(!n.isEmpty(), path + "[" + i + "].name", "may not be empty");
            require(seen.add(n), path + "[" + i + "].name", "\"" + n + "\" is there twice");
        }
    }

    void edge(EdgeSettings s) {
        require(!s.name().isEmpty(), "name", "may not be empty");
        require(
                s.zones().contains(s.zone()),
                "zone",
                "\"" + s.zone() + "\" is not among zones " + s.zones());
        range("port", s.port(), 0, PORTS);
        address("planner", s.planner());
        require(!s.model().isEmpty(), "model", "may not be empty");
        range("routers", s.routers(), 1, 10_000);
        require(!s.classes().isEmpty(), "classes", "needs one class at least");
        distinct("classes", s.classes(), EdgeSettings.ClassSettings::name);
        distinct("tenants", s.tenants(), EdgeSettings.TenantSettings::name);
        distinct("kinds", s.kinds(), EdgeSettings.KindSettings::name);
        for (int i = 0; i < s.classes().size(); i++) {
            EdgeSettings.ClassSettings c = s.classes().get(i);
            String path = "classes[" + i + "].";
            range(path + "aimMs", c.aimMs(), 1, 3_600_000);
            range(path + "aimMsPer1000", c.aimMsPer1000(), 0, 3_600_000);
            range(path + "deadlineMs", c.deadlineMs(), 1, 3_600_000);
            require(c.deadlineMs() >= c.aimMs(), path + "deadlineMs", "may not come before aimMs");
            range(path + "deadlineMsPer1000", c.deadlineMsPer1000(), 0, 3_600_000);
            range(path + "worth", c.worth(), 0, 1e9);
            word(path + "repeat", c.repeat(), Set.of("safe", "keyed", "unsafe"));
            word(path + "scope", c.scope(), Set.of("all", "zone", "cell"));
            range(path + "repeatWindowMs", c.repeatWindowMs(), 0, 86_400_000);
        }
        for (int i = 0; i < s.kinds().size(); i++) {
            word("kinds[" + i + "].role", s.kinds().get(i).role(), Set.of("read", "write", "both"));
            range("kinds[" + i + "].memoryTokens", s.kinds().get(i).memoryTokens(), 1, 1e12);
        }
        Set<String> roles =
                new HashSet<>(s.kinds().stream().map(EdgeSettings.KindSettings::role).toList());
        require(
                roles.contains("both") || roles.contains("read") && roles.contains("write"),
                "kinds",
                "need one that reads and one that writes, or one that does both");
        range("traceShare", s.traceShare(), 0, 1);
        distinct("teachKeys", s.teachKeys(), EdgeSettings.KeySettings::id);
        for (int i = 0; i < s.teachKeys().size(); i++) {
            require(
                    s.teachKeys()
                                    .get(i)
                                    .secret()
                                    .getBytes(java.nio.charset.StandardCharsets.UTF_8)
                                    .length
                            >= 16,
                    "teachKeys[" + i + "].secret",
                    "needs 16 bytes or more");
        }
        range("record.megabytes", s.record().megabytes(), 1, 1_000_000);
        range("record.minutes", s.record().minutes(), 1, 1_000_000);
        range("record.keptMegabytes", s.record().keptMegabytes(), 1, 1_000_000);
        limits(s.limits());
        rules(s.rules());
        serving(s.serving());
    }

    private void limits(EdgeSettings.LimitSettings l) {
        range("limits.maxAttempts", l.maxAttempts(), 2, 100);
        range("limits.maxBackoffMs", l.maxBackoffMs(), 0, 3_600_000);
        range("limits.probePrice", l.probePrice(), 0, 100);
        range("limits.tellPrice", l.tellPrice(), 0, 100);
        range("limits.overShareWorth", l.overShareWorth(), 0, 1);
        word("limits.reports", l.reports(), Set.of("none", "outcomes", "probes"));
    }

    private void rules(EdgeSettings.RuleSettings r) {
        range("rules.coldFrom", r.coldFrom(), 0.01, 1);
        range("rules.coldMs", r.coldMs(), 0, 3_600_000);
        range("rules.fallMultiple", r.fallMultiple(), 0.1, 1000);
        range("rules.fallMs", r.fallMs(), 1, 3_600_000);
        range("rules.releaseMs", r.releaseMs(), 50, 3_600_000);
    }

    private void serving(EdgeSettings.ServingSettings s) {
        range("serving.marginMs", s.marginMs(), 0, 10_000);
        range("serving.stallMs", s.stallMs(), 100, 3_600_000);
        range("serving.maxOpen", s.maxOpen(), 1, 10_000_000);
        range("serving.mostMaxTokens", s.mostMaxTokens(), 1, 1_000_000);
        range("serving.defaultMaxTokens", s.defaultMaxTokens(), 1, s.mostMaxTokens());
        range("serving.maxPromptBytes", s.maxPromptBytes(), 1, 64 << 20);
        range("serving.threads", s.threads(), 1, 256);
        range("serving.connectionsPerEngine", s.connectionsPerEngine(), 1, 1000);
        range("serving.dialMs", s.dialMs(), 1, 60_000);
        range("serving.idleMs", s.idleMs(), 100, 86_400_000);
        range("serving.streamsPerConnection", s.streamsPerConnection(), 1, 1_000_000);
        range("serving.drainMs", s.drainMs(), 0, 3_600_000);
    }

    void planner(PlannerSettings s) {
        range("port", s.port(), 0, PORTS);
        address("registry", s.registry());
        require(!s.app().isEmpty(), "app", "may not be empty");
        range("edges", s.edges(), 1, 10_000);
        range("pollMs", s.pollMs(), 10, 60_000);
        range("registryTimeoutMs", s.registryTimeoutMs(), 10, 60_000);
        range("seatMs", s.seatMs(), 0, 3_600_000);
        range("doubtMs", s.doubtMs(), 0, 3_600_000);
        range("probeTimeoutMs", s.probeTimeoutMs(), 1, 60_000);
        range("probesAtOnce", s.probesAtOnce(), 1, 100_000);
    }

    void engine(EngineSettings s) {
        require(!s.id().isEmpty(), "id", "may not be empty");
        word("role", s.role(), Set.of("read", "write", "both"));
        range("port", s.port(), 0, PORTS);
        if (!s.registry().isEmpty()) {
            address("registry", s.registry());
        }
        range("renewMicros", s.renewMicros(), 1000, 3.6e9);
        range("leaseMicros", s.leaseMicros(), s.renewMicros(), 3.6e9);
        range("slots", s.slots(), 1, 100_000);
        range("queue", s.queue(), 0, 1_000_000);
        range("memoryTokens", s.memoryTokens(), 1, 1e12);
        range("keptTokens", s.keptTokens(), 0, 1e12);
        range("readPerSecond", s.readPerSecond(), 1, 1e12);
        range("stepMicros", s.stepMicros(), 1, 1e9);
        range("perAnswerMicros", s.perAnswerMicros(), 0, 1e9);
        range("chunkTokens", s.chunkTokens(), 1, 1e9);
        range("moveTokensPerSecond", s.moveTokensPerSecond(), 1, 1e12);
        range("farTokensPerSecond", s.farTokensPerSecond(), 1, 1e12);
        range("coldFrom", s.coldFrom(), 0.01, 1);
        range("coldMicros", s.coldMicros(), 0, 3.6e9);
        range("fallMultiple", s.fallMultiple(), 0.1, 1000);
        range("fallMicros", s.fallMicros(), 1000, 3.6e9);
        range("warmSendsPerSecond", s.warmSendsPerSecond(), 0, 1e9);
        range("stateLimitMicros", s.stateLimitMicros(), 1000, 3.6e9);
    }

    void registry(RegistryStandIn.Settings s) {
        range("port", s.port(), 0, PORTS);
        range("evictMicros", s.evictMicros(), 1000, 3.6e9);
        range("deltaMicros", s.deltaMicros(), 1000, 3.6e9);
    }
}
