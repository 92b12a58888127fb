/**
 * Lives as long as the entry process: start-up, administration and measurements.
 */
package org.monsoonvalve.entry.process;
