import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One router process, started by the line `run` of the deploy file. */
final class RouterNode implements AutoCloseable {
    final String name;
    final InetSocketAddress listen;
    private final Path root;
    private final Path folder;
    private final Path config;
    private Process process;

    RouterNode(Path root, Path temporary, String name) throws IOException {
        this.root = root;
        this.name = name;
        folder = Files.createDirectories(temporary.resolve(name));
        config = folder.resolve("config.json");
        listen = new InetSocketAddress("127.0.0.1", freeTcpPort());
    }

    static int freeTcpPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static int freeUdpPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Writes the configuration; a reader never sees half of it. */
    void configure(String discovery, String known, Settings settings, List<String> peers, int me)
            throws IOException {
        String json = "{\"name\":\"" + name + "\",\"listen\":\"" + address(listen)
                + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be9" + me
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + settings.memoryMb
                + ",\"sockets\":" + settings.sockets + "}"
                + (peers.isEmpty() ? "" : ",\"peer_listen\":\"" + peers.get(me) + "\",\"peers\":[\""
                        + String.join("\",\"", peers) + "\"]")
                + (known == null ? "" : ",\"known\":" + known)
                + ",\"settings\":" + settings.json(me) + "}";
        Path next = folder.resolve("config.next");
        Files.writeString(next, json);
        Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        this.discovery = discovery;
    }

    private String discovery = "";

    private static String address(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** Starts the process. */
    void start() throws IOException {
        Path tmp = Files.createDirectories(folder.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine())
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        builder.environment().put("LB_NAME", name);
        builder.environment().put("LB_LISTEN", address(listen));
        builder.environment().put("LB_DISCOVERY", discovery);
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        process = builder.start();
        Journal.line(name, "started, listens on " + address(listen));
    }

    private String runLine() throws IOException {
        String file = Files.readString(root.resolve("deploy/balancer.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(file);
        if (!run.find()) {
            throw new IOException("the deploy file has no run line");
        }
        return run.group(1);
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long bound = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < bound && process.isAlive()) {
            if (isReady()) {
                Journal.line(name, "ready");
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(listen, 500);
            socket.setSoTimeout(500);
            socket.getOutputStream().write(Http.ascii(
                    "GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"));
            InputStream in = socket.getInputStream();
            return new String(in.readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int exitStatus() {
        return process.exitValue();
    }

    void signal(String signal) throws IOException, InterruptedException {
        Journal.line(name, "gets SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    String log() throws IOException {
        Path log = folder.resolve("log");
        return Files.exists(log) ? Files.readString(log) : "";
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
        }
    }
}
