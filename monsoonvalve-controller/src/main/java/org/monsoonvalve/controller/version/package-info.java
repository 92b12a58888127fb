/**
 * Planning of the next version of the replica groups and of the order in which engines
 * load model weights.
 */
package org.monsoonvalve.controller.version;
