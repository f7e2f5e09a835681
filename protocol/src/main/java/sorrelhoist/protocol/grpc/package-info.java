/**
 * gRPC over HTTP/2, client and server.
 *
 * <p>{@link sorrelhoist.protocol.grpc.GrpcChannel} owns the connections to one address and the
 * calls queued for them; {@link sorrelhoist.protocol.grpc.ClientCall} and {@link
 * sorrelhoist.protocol.grpc.ServerCall} own the state of one call on the client and the server
 * side; {@link sorrelhoist.protocol.grpc.GrpcServer} maps paths to the served methods. A channel
 * runs on one event loop; a server call runs on the event loop of its connection. This package
 * treats messages as bytes; sibling packages define their contents.
 */
package sorrelhoist.protocol.grpc;
