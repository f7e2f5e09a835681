package sorrelhoist.standin.registry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.StringReader;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/** Reads a registration in XML into the tree that the same one in JSON would give. */
final class XmlInstance {
    private static final int MAX_DEPTH = 16;

    private XmlInstance() {}

    static ObjectNode parse(String xml) throws XMLStreamException {
        XMLInputFactory factory = XMLInputFactory.newInstance();
        // A document's own definitions could name files or grow without bound: none are read.
        factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        factory.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
        XMLStreamReader in = factory.createXMLStreamReader(new StringReader(xml));
        in.nextTag();
        ObjectNode root = new ObjectMapper().createObjectNode();
        read(in, root, 0);
        return root;
    }

    private static void read(XMLStreamReader in, ObjectNode into, int depth)
            throws XMLStreamException {
        if (depth > MAX_DEPTH) {
            throw new XMLStreamException("elements nested more than " + MAX_DEPTH + " deep");
        }
        String name = in.getLocalName();
        ObjectNode node = into.objectNode();
        for (int i = 0; i < in.getAttributeCount(); i++) {
            node.put("@" + in.getAttributeLocalName(i), in.getAttributeValue(i));
        }
        StringBuilder text = new StringBuilder();
        for (int event = in.next(); event != XMLStreamConstants.END_ELEMENT; event = in.next()) {
            if (event == XMLStreamConstants.START_ELEMENT) {
                read(in, node, depth + 1);
            } else if (event == XMLStreamConstants.CHARACTERS
                    || event == XMLStreamConstants.CDATA) {
                text.append(in.getText());
            }
        }
        if (node.isEmpty()) {
            into.put(name, text.toString().strip());
        } else {
            if (!text.toString().isBlank()) {
                node.put("$", text.toString().strip());
            }
            into.set(name, node);
        }
    }
}
