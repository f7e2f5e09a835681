/**
 * gRPC over HTTP/2, both sides.
 *
 * <p>{@link sorrelhoist.protocol.grpc.GrpcChannel} owns the connections to one address and the
 * calls that wait for one; {@link sorrelhoist.protocol.grpc.ClientCall} and {@link
 * sorrelhoist.protocol.grpc.ServerCall} own the state of one call at either side; {@link
 * sorrelhoist.protocol.grpc.GrpcServer} knows the methods that are served. All of a channel runs on
 * one event loop, all of a server's call on that of its connection. Messages are bytes here; what
 * they mean is said by the message packages beside this one.
 */
package sorrelhoist.protocol.grpc;
