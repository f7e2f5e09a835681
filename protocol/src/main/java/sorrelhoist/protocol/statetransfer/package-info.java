/**
 * Messages with which a router that has just started fetches a snapshot of a running router's
 * knowledge: the messages of know.proto as records.
 *
 * <p>The records are immutable. The routers compute and verify the message authentication codes;
 * this package only transports them.
 */
package sorrelhoist.protocol.statetransfer;
