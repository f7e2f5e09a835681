package sorrelhoist.protocol.plan;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The other edges that are attached.
 *
 * @param peers all of them
 */
public record Peers(List<Peer> peers) {
    static Peers read(ProtoReader in) throws ProtoException {
        List<Peer> peers = new ArrayList<>();
        for (int f = in.next(); f != 0; f = in.next()) {
            if (f == 1) {
                peers.add(Peer.read(in.message()));
            } else {
                in.skip();
            }
        }
        return new Peers(peers);
    }

    ProtoWriter write() {
        ProtoWriter out = new ProtoWriter();
        peers.forEach(p -> out.message(1, p.write()));
        return out;
    }
}
