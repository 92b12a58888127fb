/**
 * Lives as long as one run of the operators' program.
 */
package org.monsoonvalve.ctl.process;
