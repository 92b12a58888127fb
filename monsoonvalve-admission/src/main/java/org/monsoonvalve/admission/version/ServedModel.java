package org.monsoonvalve.admission.version;

/**
 * A model of a service.
 *
 * @author monsoonvalve maintainers
 * @param service the service's name
 * @param model the model's name
 */
public record ServedModel(String service, String model) {

}
