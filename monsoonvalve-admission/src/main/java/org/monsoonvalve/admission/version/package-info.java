/**
 * What the decisions know from one version of the configuration.
 */
package org.monsoonvalve.admission.version;
