/**
 * Requests to the administration API.
 */
package org.monsoonvalve.ctl.request;
