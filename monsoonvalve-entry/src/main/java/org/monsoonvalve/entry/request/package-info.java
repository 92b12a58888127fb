/**
 * Lives as long as a request: admission, routing, sending and answering.
 */
package org.monsoonvalve.entry.request;
