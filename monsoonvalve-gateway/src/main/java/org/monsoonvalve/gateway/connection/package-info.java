/**
 * Connections to endpoints: pooling, load estimates and the selection of an endpoint for
 * a request.
 */
package org.monsoonvalve.gateway.connection;
