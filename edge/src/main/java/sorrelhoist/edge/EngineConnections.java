package sorrelhoist.edge;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.protocol.grpc.GrpcChannel;

/**
 * Manages one channel per engine, which is opened on first use and replaced when the engine's
 * address changes. Its state belongs to the router's thread.
 */
final class EngineConnections {
    private static final Logger LOG = LoggerFactory.getLogger(EngineConnections.class);

    private final EventLoopGroup network;
    private final EngineTable engines;
    private final GrpcChannel.Options options;
    private final Map<String, GrpcChannel> channels = new HashMap<>();

    EngineConnections(EventLoopGroup network, EngineTable engines, GrpcChannel.Options options) {
        this.network = network;
        this.engines = engines;
        this.options = options;
    }

    /**
     * Returns the channel to an engine; null if no channel is open and no usable address is known.
     */
    GrpcChannel channelTo(String engine) {
        String address = engines.address(engine);
        GrpcChannel current = channels.get(engine);
        if (address == null || current != null && current.address().equals(address)) {
            return current;
        }
        if (current != null) {
            current.loop().execute(current::shutdown);
        }
        return open(engine, address);
    }

    private GrpcChannel open(String engine, String address) {
        try {
            GrpcChannel channel = new GrpcChannel(network.next(), address, options);
            channels.put(engine, channel);
            return channel;
        } catch (IllegalArgumentException e) {
            LOG.atWarn()
                    .addKeyValue("event", "invalid_address")
                    .addKeyValue("engine", engine)
                    .log(e.getMessage());
            return null;
        }
    }

    /** Returns the address of an engine; null if it is unknown. */
    String address(String engine) {
        return engines.address(engine);
    }

    /** Returns the timeout for establishing a connection, in microseconds. */
    long connectTimeoutMicros() {
        return options.connectTimeoutMicros();
    }

    /** Closes the idle connections to an engine, on its network thread. */
    void closeIdle(String engine) {
        GrpcChannel channel = channelTo(engine);
        if (channel != null) {
            EngineCall.executeOnNetwork(channel, channel::closeIdle);
        }
    }

    /** Closes all connections. */
    void shutdown() {
        channels.values().forEach(channel -> channel.loop().execute(channel::shutdown));
    }
}
