/**
 * Code whose state lives as long as a connection: HTTP client and server, peer transport
 * and platform clients.
 */
package org.monsoonvalve.core.connection;
