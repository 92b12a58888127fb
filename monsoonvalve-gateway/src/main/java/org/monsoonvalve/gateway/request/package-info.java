/**
 * The processing of one request: routing, deadline, attempts at endpoints and the relay
 * of the response. The load of endpoints and their idle connections, which outlast a
 * request, belong in {@code connection}.
 */
package org.monsoonvalve.gateway.request;
