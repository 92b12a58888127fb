package org.monsoonvalve.gateway.request;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/**
 * Decodes the limits that endpoints name in their answers.
 *
 * @author monsoonvalve maintainers
 */
final class RequestLimit {

	private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

	private RequestLimit() {
	}

	/**
	 * Decodes a limit.
	 * @param field the value of the header field
	 * @return the requests per second, empty without a limit or if it isn't a decimal
	 * number
	 */
	static OptionalDouble of(Optional<String> field) {
		return field.map(String::strip)
			.filter((text) -> DECIMAL.matcher(text).matches())
			.map((text) -> OptionalDouble.of(Double.parseDouble(text)))
			.orElse(OptionalDouble.empty());
	}

}
