/**
 * What the decisions keep for each endpoint for as long as it is in use.
 */
package org.monsoonvalve.admission.connection;
