package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.hpack.Headers;

class HeaderValidatorTest {
    private static Headers request() {
        return new Headers().add(":method", "POST").add(":scheme", "http").add(":path", "/");
    }

    @Test
    void requestNeedsEachPseudoHeaderOnceBeforeRegularFields() {
        String missing = "needs one each of :method, :scheme and :path";
        assertNull(HeaderValidator.validateRequest(request().add("te", "trailers")));
        assertEquals(missing, HeaderValidator.validateRequest(new Headers()));
        assertEquals(missing, HeaderValidator.validateRequest(request().add(":path", "/")));
        assertEquals(
                "a pseudo-header after a regular one",
                HeaderValidator.validateRequest(request().add("a", "b").add(":authority", "x")));
        assertEquals(
                "unknown pseudo-header",
                HeaderValidator.validateRequest(request().add(":status", "200")));
    }

    @Test
    void aResponseNeedsItsStatusFirst() {
        assertNull(HeaderValidator.validateResponse(new Headers().add(":status", "200")));
        assertEquals(
                "needs :status first",
                HeaderValidator.validateResponse(
                        new Headers().add("a", "b").add(":status", "200")));
    }

    @Test
    void trailersHaveNoPseudoHeaders() {
        assertNull(HeaderValidator.validateTrailers(new Headers().add("grpc-status", "0")));
        assertEquals(
                "a pseudo-header in trailers",
                HeaderValidator.validateTrailers(new Headers().add(":status", "200")));
    }

    @Test
    void fieldsOfTheConnectionAndForbiddenCharactersAreMalformed() {
        assertEquals(
                "a field that HTTP/2 has no use for: upgrade",
                HeaderValidator.validateRequest(request().add("upgrade", "h2c")));
        assertEquals(
                "a field that HTTP/2 has no use for: te",
                HeaderValidator.validateRequest(request().add("te", "gzip")));
        assertEquals(
                "a field name with a forbidden character",
                HeaderValidator.validateRequest(request().add("Upper", "x")));
        assertEquals(
                "a field value with a forbidden character",
                HeaderValidator.validateRequest(request().add("a", "b\r\nc: d")));
    }
}
