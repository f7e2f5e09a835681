package sorrelhoist.standin.engine;

/** Settings of engines for tests: two queue places, 1,000 tokens of memory, warm after 2 s. */
final class TestSettings {
    private TestSettings() {}

    static EngineSettings of(String role, int slots) {
        return new EngineSettings(
                "e1", role, role, "a", "rack1", 0, "", 200_000, 1_000_000, slots, 2, 1000, 64,
                100_000, 500, 20, 2048, 5_000_000, 2_000_000, false, false, 0.3, 2_000_000, 3,
                3_000_000, 100, 2_000_000, "", 7);
    }
}
