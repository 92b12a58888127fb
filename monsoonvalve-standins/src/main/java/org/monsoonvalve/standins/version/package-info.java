/**
 * State of the stand-in platform.
 */
package org.monsoonvalve.standins.version;
