package sorrelhoist.lab.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.WorkerEntry.State;
import sorrelhoist.protocol.http1.HttpDecodeException;
import sorrelhoist.protocol.http1.HttpHead;
import sorrelhoist.protocol.http1.HttpHeadDecoder;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * A stand-in for the discovery agent beside one router: it lists workers and keeps watches open. It
 * can fall silent in many ways.
 */
final class DiscoveryStandIn {
    private static final long HEARTBEAT_MILLIS = 2000;
    private static final int SLOW_PARTS = 5;
    private static final long PART_PAUSE_MILLIS = 300;
    private final EventLoop loop;
    private final Map<String, WorkerEntry> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedInVersion = new LinkedHashMap<>();
    private final Set<Watch> watches = new HashSet<>();
    private volatile Channel listener;
    private int port;
    private long version = 1;
    private boolean silent;
    private boolean slow;

    DiscoveryStandIn(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts it, unless it runs: outages may overlap. */
    void start() throws IOException {
        if (listener != null) {
            return;
        }
        listener = StandInListener.listen(loop, port, Watch::new);
        port = LoopbackTransport.localPort(listener);
        if (watches.isEmpty()) {
            loop.schedule(this::heartbeat, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    String address() {
        return LoopbackTransport.LOOPBACK + ":" + port;
    }

    /** {@return whether a change that is made now is written to a watch at once} */
    boolean deliversChanges() {
        return listener != null
                && !silent
                && !slow
                && watches.stream().anyMatch(watch -> watch.listed && !watch.muted);
    }

    List<WorkerEntry> listedWorkers() {
        return entries.values().stream().filter(e -> e.state() != State.LEFT).toList();
    }

    /** Publishes a change of one worker. */
    void publish(WorkerEntry entry) {
        version++;
        entries.put(entry.uid(), entry);
        changedInVersion.put(entry.uid(), version);
        watches.stream()
                .filter(watch -> watch.listed)
                .forEach(watch -> watch.write(json(false, List.of(entry))));
    }

    /** Sends nothing more to the watches that are open now; new ones work. */
    void muteOpenWatches() {
        watches.forEach(watch -> watch.muted = true);
    }

    /** Sends nothing at all, to anybody, or goes on with new watches. */
    void setSilent(boolean on) {
        silent = on;
        if (!on) {
            List.copyOf(watches).forEach(Watch::reset);
        }
    }

    /** Writes complete lists in slow parts from now on, or at once again. */
    void setSlow(boolean on) {
        slow = on;
    }

    /** Goes down: connections are reset and refused. */
    void stop() {
        if (listener != null) {
            listener.close();
            listener = null;
        }
        List.copyOf(watches).forEach(Watch::reset);
    }

    /** Restarts as another process would that counts its versions from 1. */
    void restartVersionCount() {
        List.copyOf(watches).forEach(Watch::reset);
        version = 1;
        changedInVersion.replaceAll((uid, before) -> 1L);
    }

    private void heartbeat() {
        watches.stream().filter(watch -> watch.listed).forEach(watch -> watch.write("\n"));
        loop.schedule(this::heartbeat, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private String json(boolean all, List<WorkerEntry> some) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("rev", version).put("all", all);
        ArrayNode targets = json.putArray("targets");
        some.forEach(entry -> targets.add(entry.json()));
        return json + "\n";
    }

    /** One watch: a response that does not end. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        private final HttpHeadDecoder headDecoder = new HttpHeadDecoder(true, 16 << 10);
        private final ByteBuf unread = Unpooled.buffer();
        private ChannelHandlerContext ctx;
        private boolean listed;
        private boolean muted;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            watches.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message)
                throws HttpDecodeException {
            ByteBuf in = (ByteBuf) message;
            unread.writeBytes(in);
            in.release();
            HttpHead head = listed || silent ? null : headDecoder.next(unread);
            if (head == null) {
                return;
            }
            long from = Long.parseLong(head.target().replaceAll(".*from=([0-9]+).*", "$1"));
            writeRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            String list =
                    from >= 1 && from <= version
                            ? json(
                                    false,
                                    entries.values().stream()
                                            .filter(
                                                    e ->
                                                            changedInVersion.getOrDefault(
                                                                            e.uid(), 0L)
                                                                    > from)
                                            .toList())
                            : json(true, listedWorkers());
            if (slow) {
                writeInParts(list, 0);
            } else {
                listed = true;
                write(list);
            }
        }

        private void writeInParts(String list, int part) {
            int size = list.length() / SLOW_PARTS + 1;
            write(
                    list.substring(
                            Math.min(list.length(), part * size),
                            Math.min(list.length(), (part + 1) * size)));
            if (part + 1 < SLOW_PARTS) {
                loop.schedule(
                        () -> writeInParts(list, part + 1),
                        PART_PAUSE_MILLIS,
                        TimeUnit.MILLISECONDS);
            } else {
                listed = true;
                write(json(true, listedWorkers()));
            }
        }

        void write(String text) {
            if (!muted && !silent && !text.isEmpty()) {
                writeRaw(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            }
        }

        private void writeRaw(String text) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }

        void reset() {
            ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            watches.remove(this);
            unread.release();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            ctx.close();
        }
    }
}
