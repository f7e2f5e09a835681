/**
 * Messages by which a router that has started fetches what a running one knows: know.proto as
 * records.
 *
 * <p>The records are immutable. Their message authentication codes are made and checked by the
 * routers, not here.
 */
package sorrelhoist.protocol.statetransfer;
