package sorrelhoist.standin.registry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import javax.xml.stream.XMLOutputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamWriter;

/** Writes lists of instances as Eureka's REST API publishes them, in JSON and in XML. */
final class Listing {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Listing() {}

    /** Counts by status: the hash code by which a client finds that its list differs. */
    static String hashCode(List<Lease> leases) {
        TreeMap<String, Integer> counts = new TreeMap<>();
        leases.forEach(l -> counts.merge(l.effective(), 1, Integer::sum));
        StringBuilder text = new StringBuilder();
        counts.forEach((status, n) -> text.append(status).append('_').append(n).append('_'));
        return text.toString();
    }

    static ObjectNode instance(Lease l, String action) {
        ObjectNode node = l.info().deepCopy();
        node.put("app", l.app());
        node.put("status", l.effective());
        node.put("overriddenStatus", l.override() == null ? "UNKNOWN" : l.override());
        ObjectNode lease = node.withObject("/leaseInfo");
        lease.put("lastRenewalTimestamp", l.renewedAt() / 1000);
        lease.put("durationInSecs", Math.max(1, l.durationMicros() / 1_000_000));
        node.put("lastUpdatedTimestamp", Long.toString(l.changedAt() / 1000));
        node.put("actionType", action);
        return node;
    }

    /**
     * {@return applications with their instances; whether whole or a delta is in the instances'
     * actions}
     */
    static ObjectNode applications(List<ObjectNode> instances, String hashCode) {
        ObjectNode root = JSON.createObjectNode();
        ObjectNode apps = root.putObject("applications");
        apps.put("versions__delta", "1");
        apps.put("apps__hashcode", hashCode);
        ArrayNode list = apps.putArray("application");
        TreeMap<String, List<ObjectNode>> byApp = new TreeMap<>();
        instances.forEach(
                i -> byApp.computeIfAbsent(i.get("app").asText(), a -> new ArrayList<>()).add(i));
        byApp.forEach((app, of) -> list.add(application(app, of)));
        return root;
    }

    static ObjectNode application(String app, List<ObjectNode> instances) {
        ObjectNode node = JSON.createObjectNode();
        node.put("name", app);
        node.putArray("instance").addAll(instances);
        return node;
    }

    /**
     * XML of the same tree: arrays repeat their element, keys that begin with @ are attributes, $
     * is the text.
     */
    static String xml(ObjectNode root) {
        StringWriter text = new StringWriter();
        try {
            XMLStreamWriter out = XMLOutputFactory.newInstance().createXMLStreamWriter(text);
            var top = root.fields().next();
            element(out, top.getKey(), top.getValue());
            out.close();
        } catch (XMLStreamException e) {
            throw new IllegalStateException(e);
        }
        return text.toString();
    }

    private static void element(XMLStreamWriter out, String name, JsonNode value)
            throws XMLStreamException {
        if (value.isArray()) {
            for (JsonNode each : value) {
                element(out, name, each);
            }
            return;
        }
        out.writeStartElement(name);
        if (value.isObject()) {
            for (var f = value.fields(); f.hasNext(); ) {
                var e = f.next();
                if (e.getKey().startsWith("@")) {
                    out.writeAttribute(e.getKey().substring(1), e.getValue().asText());
                }
            }
            for (var f = value.fields(); f.hasNext(); ) {
                var e = f.next();
                if (e.getKey().equals("$")) {
                    out.writeCharacters(e.getValue().asText());
                } else if (!e.getKey().startsWith("@")) {
                    element(out, e.getKey(), e.getValue());
                }
            }
        } else {
            out.writeCharacters(value.asText());
        }
        out.writeEndElement();
    }
}
