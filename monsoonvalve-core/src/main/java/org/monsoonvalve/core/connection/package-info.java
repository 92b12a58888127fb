/**
 * Lives as long as a connection: HTTP exchanges, peer frames and platform calls.
 */
package org.monsoonvalve.core.connection;
