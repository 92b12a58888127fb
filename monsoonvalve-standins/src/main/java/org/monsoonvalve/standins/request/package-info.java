/**
 * Requests as the stand-in endpoints execute them.
 */
package org.monsoonvalve.standins.request;
