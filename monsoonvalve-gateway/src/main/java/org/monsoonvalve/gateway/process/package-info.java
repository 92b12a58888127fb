/**
 * Components that live as long as the process: settings, the replica of the platform's
 * store, the registration of the process, the planning of replica groups, the log of
 * decisions, and metrics. The interfaces to the platform, which a platform module
 * implements, belong here too. The processing of requests, connections to endpoints, and
 * the values and algorithms of planning belong to the sibling packages. Components that
 * are confined to the control thread run on one scheduler thread of {@link Gateway}.
 */
package org.monsoonvalve.gateway.process;
