/**
 * Lives as long as a version of the configuration: what requests can be sent to.
 */
package org.monsoonvalve.entry.version;
