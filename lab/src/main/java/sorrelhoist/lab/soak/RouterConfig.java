package sorrelhoist.lab.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;

/**
 * The configuration file of one router process, in the platform's form.
 *
 * @param self its number
 * @param routers how many there are
 * @param listen where clients connect
 * @param discovery where its list of workers comes from
 * @param peers every router's address for messages, by number; empty for none
 * @param memoryMb limit of memory
 * @param sockets limit of descriptors
 * @param known the list that it had before its start; null for none
 * @param rules limits that every router of the fleet is told
 */
public record RouterConfig(
        int self,
        int routers,
        String listen,
        String discovery,
        List<String> peers,
        int memoryMb,
        int sockets,
        List<WorkerEntry> known,
        FleetRules rules) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Replaces the file at once, so that a reader never sees half of it. */
    public void write(Path file) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, JSON.writerWithDefaultPrettyPrinter().writeValueAsString(json()));
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private ObjectNode json() {
        ObjectNode json =
                JSON.createObjectNode()
                        .put("name", "n" + self)
                        .put("listen", listen)
                        .put("discovery", discovery)
                        .put("seed", Integer.toHexString(self + 1));
        json.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", memoryMb)
                .put("sockets", sockets);
        if (!peers.isEmpty()) {
            json.put("peer_listen", peers.get(self));
            peers.forEach(json.putArray("peers")::add);
        }
        if (known != null) {
            ArrayNode targets =
                    json.putObject("known").put("rev", 1).put("all", true).putArray("targets");
            known.forEach(entry -> targets.add(entry.json()));
        }
        json.set("settings", rules.json(self, routers));
        return json;
    }
}
