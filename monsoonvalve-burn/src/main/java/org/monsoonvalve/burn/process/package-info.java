/**
 * Lives as long as one run of the burn report.
 */
package org.monsoonvalve.burn.process;
