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
public record PeerList(List<Peer> peers) {
    static PeerList read(ProtoReader in) throws ProtoException {
        List<Peer> peers = new ArrayList<>();
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            if (f == 1) {
                peers.add(Peer.read(in.readMessage()));
            } else {
                in.skipField();
            }
        }
        return new PeerList(peers);
    }

    ProtoWriter write() {
        ProtoWriter out = new ProtoWriter();
        peers.forEach(p -> out.writeMessage(1, p.write()));
        return out;
    }
}
