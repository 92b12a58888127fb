/**
 * Lives as long as a request: results, refusals and routing decisions.
 */
package org.monsoonvalve.core.request;
