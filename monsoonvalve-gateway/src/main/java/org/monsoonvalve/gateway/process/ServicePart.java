package org.monsoonvalve.gateway.process;

import org.monsoonvalve.gateway.request.PromptPart;

/**
 * A part of a prompt at a service.
 *
 * @author monsoonvalve maintainers
 * @param service the service's name
 * @param part the part
 */
public record ServicePart(String service, PromptPart part) {

}
