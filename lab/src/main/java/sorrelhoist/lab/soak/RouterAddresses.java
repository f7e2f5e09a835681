package sorrelhoist.lab.soak;

import java.util.ArrayList;
import java.util.List;

/** The loopback addresses of a run's routers. Each run has its own, so that runs do not meet. */
final class RouterAddresses {
    static final int CLIENT_PORT = 7070;
    private static final int PEER_PORT = 7946;

    private RouterAddresses() {}

    static String host(int router) {
        long run = ProcessHandle.current().pid();
        return "127." + (64 + run / 250 % 60) + "." + (1 + run % 250) + "." + (1 + router);
    }

    /** {@return where each router takes messages of its peers, by number} */
    static List<String> peers(int routers) {
        List<String> peers = new ArrayList<>();
        for (int router = 0; router < routers; router++) {
            peers.add(host(router) + ":" + PEER_PORT);
        }
        return peers;
    }
}
