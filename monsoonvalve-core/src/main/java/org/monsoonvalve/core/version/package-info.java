/**
 * Versioned configuration documents, their validation and the configuration compiled from
 * them. Instances live as long as one version of the configuration.
 */
package org.monsoonvalve.core.version;
