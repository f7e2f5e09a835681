/**
 * Messages of the Open Inference Protocol and of gRPC's health checking protocol: the used parts of
 * open_inference_grpc.proto and health.proto as records.
 *
 * <p>These protocols are defined outside this project, which must keep their field numbers and
 * names.
 */
package sorrelhoist.protocol.inference;
