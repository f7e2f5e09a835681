import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One router process, started with the deploy file's command. */
final class Router {
    final int port;
    private final Record record;
    private final Path folder;
    private final Path config;
    private final String name;
    private Process process;

    /** What a case sets; the rest is that of a small deployment. */
    static final class Settings {
        int memoryMb = 128;
        int sockets = 256;
        int routers = 1;
        String classes;
        String limits = "\"send-cap\":5,\"cancel\":true,\"retry-after\":true,"
                + "\"max-retry-after-us\":1000000,\"dial-timeout-us\":250000,\"conn-idle-us\":15000000";
        /** Added to each class's aim for 1,000 prompt tokens. */
        long aimMicrosPer1000 = 40_000;
        boolean resume = true;
        boolean writersRead;
        long drainGraceMillis = 1000;
        long releaseMillis = 500;
    }

    Router(Record record, Path folder, String name, Settings settings, Discovery discovery)
            throws IOException {
        this.record = record;
        this.folder = folder;
        this.name = name;
        port = Stand.freePort();
        config = folder.resolve(name + ".json");
        writeConfig(settings, discovery);
    }

    void writeConfig(Settings s, Discovery discovery) throws IOException {
        String json = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                + "\",\"discovery\":\"" + discovery.address() + "\",\"seed\":\"8c1f30d27a5be964\",\n"
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + s.memoryMb + ",\"sockets\":" + s.sockets
                + "},\n\"peers\":[],\"known\":" + discovery.whole().strip()
                + ",\n\"settings\":{\"balancers\":" + s.routers
                + ",\"me\":0,\"zone\":0,\"discovery\":\"push\",\"dcs\":[\"a\"],"
                + "\"kinds\":[\"prefill\",\"decode\"],\"feedback\":{\"how\":\"silent\"},"
                + "\"limits\":{" + s.limits + "},\"request-classes\":[" + s.classes + "],\"orgs\":[],"
                + "\"rules\":{\"drain-grace-us\":" + 1000 * s.drainGraceMillis
                + ",\"fall-us\":3000000,\"fall-multiple\":3,\"cold-us\":12000000,\"cold-from\":0.26},"
                + "\"deductions\":{\"probe\":0.003,\"peer\":0.003},\"specifics\":{"
                + "\"memory-tokens\":[250000,180000],\"aim-us-per-1000-prompt-tokens\":[" + s.aimMicrosPer1000
                + "," + s.aimMicrosPer1000 + "," + s.aimMicrosPer1000 + "],\"stage-of-kind\":[\"read\",\"write\"],"
                + "\"writers-read\":" + s.writersRead + ",\"release-within-us\":"
                + 1000 * s.releaseMillis + ",\"resume\":" + s.resume + "}}}\n";
        Path next = folder.resolve(name + ".next");
        Files.writeString(next, json);
        Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    static String requestClass(String name, long aimMillis, long deadlineMillis, String semantics,
            long windowMillis) {
        return "{\"name\":\"" + name + "\",\"aim-us\":" + 1000 * aimMillis + ",\"deadline-us\":"
                + 1000 * deadlineMillis + ",\"worth\":1,\"semantics\":\"" + semantics
                + "\",\"key-scope\":\"all\",\"repeat-window-us\":" + 1000 * windowMillis + "}";
    }

    void start(Discovery discovery) throws IOException {
        File root = new File(System.getProperty("root"));
        String run = "";
        for (String line : Files.readAllLines(root.toPath().resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.replaceFirst("run = \"", "").replaceFirst("\".*", "");
            }
        }
        Path temporary = Files.createDirectories(folder.resolve(name + "-tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root);
        builder.environment().put("LB_NAME", name);
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("LB_DISCOVERY", discovery.address());
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        Stand.started.add(process);
        record.line("router " + name + " started");
    }

    /** Waits until the router says that it is ready; ends the run as not possible otherwise. */
    void awaitReady() throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < until) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream().write(Http.bytes("GET /-/ready HTTP/1.1\r\nHost: a\r\n"
                        + "Connection: close\r\n\r\n"));
                InputStream in = socket.getInputStream();
                Http.Head head = Http.readHead(in);
                if (head != null && head.status() == 200) {
                    record.line("router " + name + " is ready");
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("the router was not ready in 30 s");
    }

    void signal(String signal) throws Exception {
        record.line("signal " + signal + " to router " + name);
        new ProcessBuilder(List.of("kill", "-" + signal, Long.toString(process.pid()))).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    String log() throws IOException {
        Path file = folder.resolve(name + ".log");
        return Files.exists(file) ? Files.readString(file) : "";
    }
}
