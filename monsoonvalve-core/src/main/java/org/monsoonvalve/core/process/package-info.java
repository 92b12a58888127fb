/**
 * What exists once per process: identity, settings, clocks, logs, leader election,
 * membership and replication between peers; also stateless helpers such as codecs. State
 * of a single connection, request or configuration version belongs in the package named
 * after it.
 */
package org.monsoonvalve.core.process;
