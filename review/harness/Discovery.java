import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in for the discovery agent: whole lists, and watches with an empty line every 2 s. */
final class Discovery implements AutoCloseable {
    private record Entry(String json, long rev, boolean left) {}

    private final String name;
    private final ServerSocket server;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Watch> watches = new CopyOnWriteArrayList<>();
    private long rev = 1;

    /** How long an answer to a new call takes; calls are answered side by side. */
    volatile long answerDelayMillis;

    Discovery(String name) throws IOException {
        this.name = name;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
        daemon(this::heartbeat);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Changes one worker's entry and tells the open watches. */
    synchronized void put(Worker worker, String state) {
        rev++;
        String json =
                String.format(
                        "{\"uid\":\"%s\",\"endpoint\":\"%s\",\"az\":\"%s\",\"model\":\"%s\","
                                + "\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":1.0,"
                                + "\"boot_ms\":0}",
                        worker.uid,
                        worker.address(),
                        worker.zone,
                        worker.kind,
                        worker.cell,
                        state);
        Entry entry = new Entry(json, rev, state.equals("left"));
        entries.put(worker.uid, entry);
        Journal.line(name, "rev " + rev + " " + worker.uid + " " + state);
        for (Watch watch : watches) {
            if (watch.listed) {
                watch.send(message(false, List.of(entry)));
            }
        }
    }

    private synchronized String message(boolean all, List<Entry> some) {
        List<String> rows = new ArrayList<>();
        some.forEach(entry -> rows.add(entry.json()));
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":["
                + String.join(",", rows) + "]}\n";
    }

    /** {@return the whole list in the form of the configuration's field "known"} */
    synchronized String known() {
        return whole().strip();
    }

    private synchronized String whole() {
        return message(true, entries.values().stream().filter(e -> !e.left()).toList());
    }

    private synchronized String since(long from) {
        if (from < 1 || from > rev) {
            return whole();
        }
        return message(false, entries.values().stream().filter(e -> e.rev() > from).toList());
    }

    /** Resets all open watches. */
    void resetWatches() {
        Journal.line(name, "resets " + watches.size() + " watches");
        for (Watch watch : watches) {
            watch.reset();
        }
    }

    private void heartbeat() {
        while (!server.isClosed()) {
            try {
                Thread.sleep(2000);
            } catch (InterruptedException e) {
                return;
            }
            for (Watch watch : watches) {
                if (watch.listed) {
                    watch.send("\n");
                }
            }
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                daemon(() -> new Watch(socket).serve());
            } catch (IOException e) {
                return;
            }
        }
    }

    private final class Watch {
        final Socket socket;
        volatile boolean listed;

        Watch(Socket socket) {
            this.socket = socket;
        }

        void serve() {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = socket.getInputStream();
                Http.Head head = Http.head(in);
                if (head == null) {
                    return;
                }
                Journal.line(name, "call from router " + head.target());
                long delay = answerDelayMillis;
                if (delay > 0) {
                    Thread.sleep(delay);
                }
                OutputStream out = socket.getOutputStream();
                if (!head.target().contains("watch=1")) {
                    String list = whole();
                    out.write(Http.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + list.length()
                            + "\r\n\r\n" + list));
                    return;
                }
                long from = Long.parseLong(head.target().replaceAll(".*from=([0-9]+).*", "$1"));
                out.write(Http.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n"));
                synchronized (Discovery.this) {
                    String list = since(from);
                    send(list);
                    listed = true;
                    watches.add(this);
                    Journal.line(name, "answered the call from=" + from + " with rev " + rev
                            + (closed ? ", but the router had closed it" : ""));
                }
                while (in.read() >= 0) {
                    // A router sends nothing more on a watch.
                }
            } catch (IOException e) {
                // The router closed the watch.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                watches.remove(this);
            }
        }

        volatile boolean closed;

        synchronized void send(String text) {
            try {
                socket.getOutputStream().write(Http.chunked(text));
            } catch (IOException e) {
                closed = true;
            }
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Watch watch : watches) {
            watch.reset();
        }
    }
}
