package org.monsoonvalve.core.process;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Packs documents for their way between processes.
 *
 * @author monsoonvalve maintainers
 */
public final class Compression {

	private static final int MAX_BYTES = 16 * 1024 * 1024;

	private Compression() {
	}

	/**
	 * Packs bytes.
	 * @param plain the bytes
	 * @return the packed form
	 */
	public static byte[] compress(byte[] plain) {
		ByteArrayOutputStream packed = new ByteArrayOutputStream();
		try (GZIPOutputStream output = new GZIPOutputStream(packed)) {
			output.write(plain);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return packed.toByteArray();
	}

	/**
	 * Unpacks bytes.
	 * @param packed the packed form
	 * @return the bytes
	 * @throws ServingException with {@link FailureCode#MALFORMED_CONTENT} if they are not
	 * packed bytes or too many
	 */
	public static byte[] decompress(byte[] packed) {
		try (GZIPInputStream input = new GZIPInputStream(new ByteArrayInputStream(packed))) {
			byte[] plain = input.readNBytes(MAX_BYTES + 1);
			if (plain.length > MAX_BYTES) {
				throw new ServingException(FailureCode.MALFORMED_CONTENT, "more than " + MAX_BYTES + " bytes");
			}
			return plain;
		}
		catch (IOException ex) {
			throw new ServingException(FailureCode.MALFORMED_CONTENT, ex.getMessage(), ex);
		}
	}

}
