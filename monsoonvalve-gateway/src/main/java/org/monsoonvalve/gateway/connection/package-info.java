/**
 * The endpoints as this process sees them: idle connections, load estimates, failures and
 * the selection of an endpoint for a request. Sending the request and relaying its
 * response belong in {@code request}.
 */
package org.monsoonvalve.gateway.connection;
