/**
 * Stand-in programs for tests, the quick start and measurements.
 */
package org.monsoonvalve.standins.process;
