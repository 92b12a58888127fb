package org.monsoonvalve.core.connection;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.monsoonvalve.core.request.Excerpt;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * A network address of a process: an IP address and a TCP port.
 *
 * @author monsoonvalve maintainers
 * @param host the IP address
 * @param port the TCP port
 */
public record Address(String host, int port) {

	private static final int MAX_PORT = 65_535;

	private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

	private static final Pattern IPV4 = Pattern.compile("(" + OCTET + "\\.){3}" + OCTET);

	/** Longest text form of an IPv6 address, which ends with an IPv4 address. */
	private static final int MAX_HOST_LENGTH = 45;

	private static final Pattern IPV6_CHARACTERS = Pattern.compile("[0-9a-fA-F.:]+");

	private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");

	/**
	 * Parses {@code host:port}.
	 * @param text the text
	 * @return the address
	 * @throws ServingException with {@link FailureCode#INVALID_SETTING} if the text is
	 * not an IP address and a port
	 */
	@JsonCreator
	public static Address of(String text) {
		int colon = text.lastIndexOf(':');
		if (colon <= 0) {
			throw invalid(text);
		}
		String host = text.substring(0, colon);
		String port = text.substring(colon + 1);
		if (!isIpAddress(host) || !PORT.matcher(port).matches() || Integer.parseInt(port) > MAX_PORT) {
			throw invalid(text);
		}
		return new Address(host, Integer.parseInt(port));
	}

	// Any other host would be looked up, on the thread that opens the connection.
	private static boolean isIpAddress(String host) {
		return host.length() <= MAX_HOST_LENGTH && (IPV4.matcher(host).matches() || isIpv6Address(host));
	}

	private static boolean isIpv6Address(String host) {
		if (!IPV6_CHARACTERS.matcher(host).matches()) {
			return false;
		}
		try {
			// A host in brackets is never looked up.
			InetAddress.getByName("[" + host + "]");
			return true;
		}
		catch (UnknownHostException ex) {
			return false;
		}
	}

	private static ServingException invalid(String text) {
		return new ServingException(FailureCode.INVALID_SETTING,
				"address '" + Excerpt.of(text) + "' is not an IP address and a port, such as 10.0.0.1:8080");
	}

	/**
	 * Converts to a socket address. An IP address needs no name resolution.
	 * @return the socket address
	 */
	public InetSocketAddress toSocketAddress() {
		return new InetSocketAddress(this.host, this.port);
	}

	@JsonValue
	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
