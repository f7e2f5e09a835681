/**
 * The wire format of protocol buffers (proto3), written by hand: no code is generated and no
 * library is needed.
 *
 * <p>{@link sorrelhoist.protocol.protobuf.ProtoReader} and {@link
 * sorrelhoist.protocol.protobuf.ProtoWriter} read and write one message field by field; {@link
 * sorrelhoist.protocol.protobuf.MessageSchema} does so for a record whose components are marked
 * with {@link sorrelhoist.protocol.protobuf.ProtoField}. Readers and writers belong to one message;
 * schemas hold no state and may be shared.
 */
package sorrelhoist.protocol.protobuf;
