/**
 * Lives as long as a connection to an endpoint: pooled connections, evidence and
 * cold-start slots.
 */
package org.monsoonvalve.entry.connection;
