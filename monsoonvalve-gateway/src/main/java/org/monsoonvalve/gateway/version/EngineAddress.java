package org.monsoonvalve.gateway.version;

import org.monsoonvalve.core.connection.Address;

/**
 * The engine of one endpoint, as the target of orders.
 *
 * @author monsoonvalve maintainers
 * @param id the endpoint's identifier, by which another endpoint that has got the address
 * refuses the orders
 * @param address the address at which the endpoint accepts requests
 */
public record EngineAddress(String id, Address address) {

}
