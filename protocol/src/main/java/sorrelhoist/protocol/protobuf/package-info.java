/**
 * A hand-written implementation of the protocol buffers wire format (proto3), which needs neither
 * generated code nor a library.
 *
 * <p>{@link sorrelhoist.protocol.protobuf.ProtoReader} and {@link
 * sorrelhoist.protocol.protobuf.ProtoWriter} read and write one message field by field; {@link
 * sorrelhoist.protocol.protobuf.MessageSchema} does so for a record whose components are annotated
 * with {@link sorrelhoist.protocol.protobuf.ProtoField}. A reader or writer is used for one
 * message; schemas are immutable and may be shared.
 */
package sorrelhoist.protocol.protobuf;
