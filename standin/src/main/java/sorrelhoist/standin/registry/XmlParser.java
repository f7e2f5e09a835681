package sorrelhoist.standin.registry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.StringReader;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/** Parses an XML document into the JSON tree of which {@link XmlWriter} would make it. */
final class XmlParser {
    private static final int MAX_DEPTH = 16;

    private XmlParser() {}

    static ObjectNode parse(String xml) throws XMLStreamException {
        XMLInputFactory factory = XMLInputFactory.newInstance();
        // A document's own definitions could name files or grow without bound: none are read.
        factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        factory.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
        XMLStreamReader in = factory.createXMLStreamReader(new StringReader(xml));
        in.nextTag();
        ObjectNode root = new ObjectMapper().createObjectNode();
        element(in, root, 0);
        return root;
    }

    private static void element(XMLStreamReader in, ObjectNode parent, int depth)
            throws XMLStreamException {
        if (depth > MAX_DEPTH) {
            throw new XMLStreamException("elements nested more than " + MAX_DEPTH + " deep");
        }
        String name = in.getLocalName();
        ObjectNode node = parent.objectNode();
        for (int i = 0; i < in.getAttributeCount(); i++) {
            node.put("@" + in.getAttributeLocalName(i), in.getAttributeValue(i));
        }
        String text = content(in, node, depth);
        if (node.isEmpty()) {
            parent.put(name, text);
        } else {
            if (!text.isEmpty()) {
                node.put("$", text);
            }
            parent.set(name, node);
        }
    }

    /** Adds the elements up to the end of this one to a node. {@return the text between them} */
    private static String content(XMLStreamReader in, ObjectNode node, int depth)
            throws XMLStreamException {
        StringBuilder text = new StringBuilder();
        for (int event = in.next(); event != XMLStreamConstants.END_ELEMENT; event = in.next()) {
            if (event == XMLStreamConstants.START_ELEMENT) {
                element(in, node, depth + 1);
            } else if (event == XMLStreamConstants.CHARACTERS
                    || event == XMLStreamConstants.CDATA) {
                text.append(in.getText());
            }
        }
        return text.toString().strip();
    }
}
