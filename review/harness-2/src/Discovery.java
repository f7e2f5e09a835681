import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** Discovery's agent: whole lists, watches with changes, and an empty line every two seconds. */
final class Discovery {
    private final Record record;
    private final String name;
    private final ServerSocket server;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private long rev;

    /** How long it takes to answer. */
    volatile long delayMillis;

    Discovery(Record record, String name, long firstRev) throws IOException {
        this.record = record;
        this.name = name;
        this.rev = firstRev;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Stand.thread("discovery", this::accept);
        Stand.thread("heartbeat", this::heartbeat);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Sets a worker without a change of the revision, before anybody watches. */
    synchronized void put(String uid, String entry) {
        entries.put(uid, entry);
        changedAt.put(uid, rev);
    }

    /** Publishes a change; a worker that left is no longer on whole lists. */
    synchronized void publish(String uid, String entry, boolean left) {
        rev++;
        entries.put(uid, entry);
        changedAt.put(uid, rev);
        record.line("discovery " + name + " rev " + rev + " " + entry);
        write("{\"rev\":" + rev + ",\"all\":false,\"targets\":[" + entry + "]}\n");
        if (left) {
            entries.remove(uid);
        }
    }

    synchronized String list(boolean all, long from) {
        List<String> rows = new ArrayList<>();
        entries.forEach(
                (uid, entry) -> {
                    if (all || changedAt.get(uid) > from) {
                        rows.add(entry);
                    }
                });
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":["
                + String.join(",", rows) + "]}\n";
    }

    String whole() {
        return list(true, 0);
    }

    private void heartbeat() throws Exception {
        while (true) {
            Thread.sleep(2000);
            synchronized (this) {
                write("\n");
            }
        }
    }

    private void write(String text) {
        for (OutputStream out : watches) {
            try {
                out.write(Http.chunk(text));
                out.flush();
            } catch (IOException e) {
                watches.remove(out);
            }
        }
    }

    /** Accepts no new connections and closes the open ones a while later. */
    void retire(long afterMillis) throws IOException {
        server.close();
        Stand.thread(
                "retire",
                () -> {
                    Thread.sleep(afterMillis);
                    for (Socket socket : sockets) {
                        socket.close();
                    }
                });
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            Stand.thread("watch", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        Http.Head head = Http.readHead(socket.getInputStream());
        if (head == null) {
            socket.close();
            return;
        }
        String target = head.target();
        record.line("discovery " + name + " asked " + target);
        OutputStream out = socket.getOutputStream();
        if (!target.contains("watch=1")) {
            String list = whole();
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + list.length()
                    + "\r\n\r\n" + list));
            return;
        }
        Thread.sleep(delayMillis);
        long from = Long.parseLong(target.replaceAll(".*from=([0-9]+).*", "$1"));
        synchronized (this) {
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            // Removed workers are not kept, so changes are told only from the current revision on.
            out.write(Http.chunk(from == rev ? "\n" : whole()));
            out.flush();
            watches.add(out);
        }
        while (socket.getInputStream().read() >= 0) {
            // A watch sends nothing more.
        }
        watches.remove(out);
    }
}
