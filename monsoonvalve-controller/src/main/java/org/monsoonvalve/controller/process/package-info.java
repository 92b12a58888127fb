/**
 * Lives as long as the controller process: start-up, observation and orders.
 */
package org.monsoonvalve.controller.process;
