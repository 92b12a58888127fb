/**
 * Components that live as long as the process: settings, the replica of the platform's
 * store, planning of replica groups, and metrics.
 */
package org.monsoonvalve.gateway.process;
