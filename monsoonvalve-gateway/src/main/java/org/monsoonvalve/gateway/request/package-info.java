/**
 * The processing of one request: routing, deadline, attempts at endpoints and the relay
 * of the response.
 */
package org.monsoonvalve.gateway.request;
