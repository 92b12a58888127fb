/**
 * Requests that scenarios send, and what came of them.
 */
package org.monsoonvalve.scenarios.request;
