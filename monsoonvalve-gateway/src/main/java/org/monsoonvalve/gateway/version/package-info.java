/**
 * The data model of a process: immutable values for the configuration, the endpoints and
 * the replica groups, which newer versions replace as a whole, and the planner that
 * computes replica groups from them. Code that performs I/O or keeps state between calls
 * belongs in the other packages.
 */
package org.monsoonvalve.gateway.version;
