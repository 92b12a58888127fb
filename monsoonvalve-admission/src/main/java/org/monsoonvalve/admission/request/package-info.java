/**
 * The decisions about one request: its size and urgency, and whether an endpoint may get
 * it now.
 */
package org.monsoonvalve.admission.request;
