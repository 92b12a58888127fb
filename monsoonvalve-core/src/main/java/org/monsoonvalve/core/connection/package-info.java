/**
 * Network communication: the event loop, the HTTP client and server, the transport and
 * messages between peers, and clients of the platform's services. Callers decide what is
 * sent to whom. Failure codes and problem documents belong in
 * {@code org.monsoonvalve.core.request}, and the codecs of message content in
 * {@code org.monsoonvalve.core.process}.
 */
package org.monsoonvalve.core.connection;
