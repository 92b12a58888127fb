/**
 * Process-scoped components: identity, settings, clocks, logs, leader election,
 * membership and replication between peers.
 */
package org.monsoonvalve.core.process;
