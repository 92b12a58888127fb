/**
 * How requests and other operations fail: failure codes, the exception that carries them
 * and the problem details sent to callers. The processing of requests is left to the
 * modules that serve them.
 */
package org.monsoonvalve.core.request;
