/**
 * Scenario scripts and the checkers that run after each of them.
 */
package org.monsoonvalve.scenarios.version;
