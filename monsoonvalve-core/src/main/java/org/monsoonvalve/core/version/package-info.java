/**
 * Lives as long as a version of the configuration: documents and their compiled forms.
 */
package org.monsoonvalve.core.version;
