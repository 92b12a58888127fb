/**
 * Lives as long as a version of the replica groups: the plan that makes the next one.
 */
package org.monsoonvalve.controller.version;
