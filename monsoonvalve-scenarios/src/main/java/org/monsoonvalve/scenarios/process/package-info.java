/**
 * Lives as long as one scenario run: processes, events and the run itself.
 */
package org.monsoonvalve.scenarios.process;
