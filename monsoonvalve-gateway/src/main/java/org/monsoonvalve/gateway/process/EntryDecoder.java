package org.monsoonvalve.gateway.process;

import java.util.Optional;
import java.util.OptionalLong;

import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.ServingConfiguration;

/**
 * Decodes the values that operators and endpoints write to the platform's store. A value
 * that can't be decoded yields an empty result.
 *
 * @author monsoonvalve maintainers
 */
public interface EntryDecoder {

	/**
	 * Decodes the configuration.
	 * @param entry an entry with any key
	 * @return the configuration, empty if the entry doesn't hold one
	 */
	Optional<ServingConfiguration> configuration(PlatformStore.Entry entry);

	/**
	 * Decodes an operator's request to take an availability zone out of service.
	 * @param entry an entry with any key
	 * @return the zone, empty if the entry isn't such a request
	 */
	Optional<String> evacuatedZone(PlatformStore.Entry entry);

	/**
	 * Decodes an endpoint's record.
	 * @param entry an entry with any key
	 * @return the record, empty if the entry doesn't describe a usable endpoint
	 */
	Optional<EndpointRecord> endpoint(PlatformStore.Entry entry);

	/**
	 * Decodes the number of an endpoint's record among those of the same incarnation.
	 * @param entry an entry with any key
	 * @return the number, which rises with each record that the incarnation writes, empty
	 * if the entry doesn't state it
	 */
	default OptionalLong endpointSequence(PlatformStore.Entry entry) {
		return OptionalLong.empty();
	}

}
