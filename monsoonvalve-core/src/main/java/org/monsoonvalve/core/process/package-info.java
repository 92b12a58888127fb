/**
 * Lives as long as a process: identity, settings, clocks and logs.
 */
package org.monsoonvalve.core.process;
