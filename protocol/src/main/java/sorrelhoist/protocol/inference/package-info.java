/**
 * Messages of the Open Inference Protocol and of gRPC's health protocol, as far as they are used:
 * open_inference_grpc.proto and health.proto as records.
 *
 * <p>These protocols are not this project's own: field numbers and names are theirs.
 */
package sorrelhoist.protocol.inference;
