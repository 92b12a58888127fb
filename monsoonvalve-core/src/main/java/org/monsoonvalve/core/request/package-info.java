/**
 * Request-scoped types: failure codes, exceptions and problem details.
 */
package org.monsoonvalve.core.request;
