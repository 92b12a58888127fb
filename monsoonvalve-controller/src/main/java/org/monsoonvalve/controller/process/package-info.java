/**
 * The controller process: start-up, polling of the model engines, and orders to them.
 */
package org.monsoonvalve.controller.process;
