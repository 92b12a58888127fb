/**
 * What the decisions keep for as long as the process runs: the demand that it measures
 * and, as the planner of a zone, is told of; its shares of endpoints; the errors of
 * forecasts; and the shares of demand that leave the zone.
 */
package org.monsoonvalve.admission.process;
