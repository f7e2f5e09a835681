package sorrelhoist.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the `run` command of deploy/balancer.toml: a shell script that may use only shell built-ins
 * and finally replaces itself with the router process.
 */
class DeployTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    @TempDir private Path folder;

    /**
     * Installs a fake java, the only program on the path, that prints its arguments and its process
     * id.
     */
    @BeforeEach
    void onlyJava() throws IOException {
        Path java = Files.createDirectories(folder.resolve("bin")).resolve("java");
        Files.writeString(
                java, "#!/bin/sh\nfor a in \"$@\"; do echo \"$a\"; done\necho \"pid=$$\"\n");
        Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwxr-xr-x"));
    }

    @Test
    void theHeapIsThreeTenthsOfTheMemoryHoweverTheFileIsWritten() throws Exception {
        assertTrue(
                run("{\"limits\":{\"cores\":0.3,\"memory_mb\":160,\"sockets\":512},\"name\":\"n1\"}")
                        .contains("-Xmx48m"));
        assertTrue(
                run("{\n"
                                + "  \"name\": \"n1\",\n"
                                + "  \"limits\": {\n"
                                + "    \"cores\": 0.3,\n"
                                + "    \"memory_mb\" :\t 160\n"
                                + "  }\n"
                                + "}\n")
                        .contains("-Xmx48m"));
        assertTrue(run("{\n\"memory_mb\":160}").contains("-Xms48m"), "no line feed at the end");
    }

    @Test
    void theHeapIsBoundedAndHasADefault() throws Exception {
        assertTrue(run("{\"limits\":{\"memory_mb\":16}}").contains("-Xmx12m"));
        assertTrue(run("{\"limits\":{\"memory_mb\":2048}}").contains("-Xmx64m"));
        assertTrue(run("{\"limits\":{}}").contains("-Xmx38m"), "128 MB if memory_mb is missing");
        assertTrue(run("").contains("-Xmx38m"));
    }

    /**
     * The platform treats a start that computes for long without waiting as a crash, so the test
     * limits the processor time of the start.
     */
    @Test
    void aListOfManyWorkersInOneLineTakesLittleProcessorTime() throws Exception {
        StringBuilder config = new StringBuilder("{\"known\":{\"rev\":1,\"targets\":[");
        for (int i = 0; i < 400; i++) {
            config.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"s-")
                    .append(i)
                    .append("\",\"endpoint\":\"127.11.0.")
                    .append(i % 250)
                    .append(
                            ":7070\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":3,\"state\":\"active\"}");
        }
        assertTrue(
                run(config + "]},\"limits\":{\"memory_mb\":100}}", "ulimit -t 3; ")
                        .contains("-Xmx30m"));
    }

    /**
     * When a hundred routers start at once, each system call costs the machine more than the work
     * between the calls.
     */
    @Test
    void aListOfManyWorkersIsReadInFewSystemCalls() throws Exception {
        Path java = folder.resolve("bin").resolve("java");
        // exec keeps the script's process, so its number of read calls is still available.
        Files.writeString(
                java,
                "#!/bin/sh\n"
                        + "while read -r name value; do\n"
                        + "if [ \"$name\" = syscr: ]; then echo \"reads=$value\"; break; fi\n"
                        + "done < /proc/$$/io\n"
                        + "echo \"pid=$$\"\n");
        String config = "{\"known\":\"" + "x".repeat(20_000) + "\",\"limits\":{\"memory_mb\":100}}";
        String reads =
                run(config).stream()
                        .filter(line -> line.startsWith("reads="))
                        .findAny()
                        .orElseThrow();
        assertTrue(Integer.parseInt(reads.substring("reads=".length())) < 1000, reads);
    }

    @Test
    void theLastArgumentsAreTheProgramItself() throws Exception {
        List<String> said = run("{}");
        assertEquals("sorrelhoist.platform.Platform", said.get(said.size() - 2));
    }

    private List<String> run(String config) throws IOException, InterruptedException {
        return run(config, "");
    }

    private List<String> run(String config, String limit) throws IOException, InterruptedException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        String run =
                Files.readAllLines(ROOT.resolve("deploy/balancer.toml")).stream()
                        .filter(l -> l.startsWith("run = \""))
                        .map(l -> l.replaceAll("run = \"([^\"]*)\".*", "$1"))
                        .findFirst()
                        .orElseThrow();
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", limit + run)
                        .directory(ROOT.toFile())
                        .redirectErrorStream(true);
        builder.environment().clear();
        builder.environment().put("PATH", folder.resolve("bin").toString());
        builder.environment().put("LB_CONFIG", file.toString());
        Path out = folder.resolve("out");
        Process shell = builder.redirectOutput(out.toFile()).start();
        assertTrue(shell.waitFor(60, TimeUnit.SECONDS));
        List<String> said = Files.readAllLines(out);
        assertEquals(0, shell.exitValue(), said.toString());
        assertFalse(said.stream().anyMatch(l -> l.contains("not found")), said.toString());
        assertEquals(
                "pid=" + shell.pid(),
                said.get(said.size() - 1),
                "java has to be started by exec, in the shell's process");
        return said;
    }
}
