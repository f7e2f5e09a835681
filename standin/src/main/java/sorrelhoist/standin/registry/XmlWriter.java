package sorrelhoist.standin.registry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.StringWriter;
import java.util.Map;
import javax.xml.stream.XMLOutputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamWriter;

/**
 * Writes a JSON tree as XML: arrays repeat their element, keys that begin with @ are attributes, $
 * is the text.
 */
final class XmlWriter {
    private static final String ATTRIBUTE_PREFIX = "@";
    private static final String TEXT_KEY = "$";
    private final XMLStreamWriter out;

    private XmlWriter(XMLStreamWriter out) {
        this.out = out;
    }

    /** {@return the document of a tree that has one field at its root} */
    static String write(ObjectNode root) {
        StringWriter text = new StringWriter();
        try {
            XMLStreamWriter out = XMLOutputFactory.newInstance().createXMLStreamWriter(text);
            Map.Entry<String, JsonNode> top = root.properties().iterator().next();
            new XmlWriter(out).element(top.getKey(), top.getValue());
            out.close();
        } catch (XMLStreamException e) {
            throw new IllegalStateException(e);
        }
        return text.toString();
    }

    private void element(String name, JsonNode value) throws XMLStreamException {
        if (value.isArray()) {
            for (JsonNode each : value) {
                element(name, each);
            }
            return;
        }
        out.writeStartElement(name);
        if (value.isObject()) {
            attributes(value);
            content(value);
        } else {
            out.writeCharacters(value.asText());
        }
        out.writeEndElement();
    }

    private void attributes(JsonNode object) throws XMLStreamException {
        for (Map.Entry<String, JsonNode> field : object.properties()) {
            if (field.getKey().startsWith(ATTRIBUTE_PREFIX)) {
                out.writeAttribute(field.getKey().substring(1), field.getValue().asText());
            }
        }
    }

    private void content(JsonNode object) throws XMLStreamException {
        for (Map.Entry<String, JsonNode> field : object.properties()) {
            if (field.getKey().equals(TEXT_KEY)) {
                out.writeCharacters(field.getValue().asText());
            } else if (!field.getKey().startsWith(ATTRIBUTE_PREFIX)) {
                element(field.getKey(), field.getValue());
            }
        }
    }
}
